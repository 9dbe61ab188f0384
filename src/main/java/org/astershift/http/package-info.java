/** A small HTTP/1.1 server and client, JSON access for codecs, and the creation of threads. */
package org.astershift.http;
