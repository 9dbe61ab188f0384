/**
 * Emulators of the store, the cloud and the workers, and harnesses that run real controllers
 * against them.
 */
package org.astershift.emulator;
