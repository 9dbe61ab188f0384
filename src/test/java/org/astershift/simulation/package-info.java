/** A deterministic simulation of controllers, workers, store and cloud with faults from a seed. */
package org.astershift.simulation;
