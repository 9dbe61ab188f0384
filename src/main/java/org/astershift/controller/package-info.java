/**
 * The running controller: loops, threads and requests around the decisions of {@link
 * org.astershift.scheduler} and {@link org.astershift.coordination}. {@link
 * org.astershift.controller.ControllerRuntime} is the entry.
 */
package org.astershift.controller;
