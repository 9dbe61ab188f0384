/** The program: entry point, options, and the wiring of a controller. */
package org.astershift;
