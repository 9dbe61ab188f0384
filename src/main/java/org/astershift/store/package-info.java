/**
 * Access to the consensus-backed key-value store: its client, the limiter of request rates, this
 * controller's cache of live records, and the format of stored records.
 */
package org.astershift.store;
