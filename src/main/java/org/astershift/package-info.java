/** The program's entry point, its command-line options, and the assembly of a controller. */
package org.astershift;
