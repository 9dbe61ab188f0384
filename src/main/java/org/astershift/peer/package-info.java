/** Requests between controllers: client, server and frames. */
package org.astershift.peer;
