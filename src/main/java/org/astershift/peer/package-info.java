/** The protocol between controllers: client, server and wire format. */
package org.astershift.peer;
