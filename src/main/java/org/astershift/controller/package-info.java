/**
 * The running controller: the loops, threads and requests that carry out the decisions of {@link
 * org.astershift.scheduler} and {@link org.astershift.coordination}. The entry point is {@link
 * org.astershift.controller.ControllerRuntime}.
 */
package org.astershift.controller;
