/** The worker protocol: its wire format, and sending commands to workers. */
package org.astershift.worker;
