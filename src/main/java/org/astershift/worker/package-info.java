/** The worker protocol: its wire format, and the client that sends commands to workers. */
package org.astershift.worker;
