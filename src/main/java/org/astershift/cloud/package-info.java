/** The cloud provider's API: its wire format and a rate-limited client. */
package org.astershift.cloud;
