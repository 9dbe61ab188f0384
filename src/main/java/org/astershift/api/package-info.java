/** The published HTTP interface: routing, the wire format of jobs, and admission of heartbeats. */
package org.astershift.api;
