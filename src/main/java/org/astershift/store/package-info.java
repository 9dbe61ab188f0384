/**
 * The consensus-backed key-value store: its client, the rate limits that all nodes share, each
 * node's cache, and the forms of stored records.
 */
package org.astershift.store;
