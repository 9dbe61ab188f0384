/**
 * Access to the consensus-backed key-value store: its client, the limiter of request rates, this
 * node's cache of live records, and the format of stored records.
 */
package org.astershift.store;
