/** Emulators of store, cloud and workers, and harnesses to run real controllers against them. */
package org.astershift.emulator;
