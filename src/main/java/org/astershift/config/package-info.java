/** The platform's and the operators' settings, and the limits that follow from the platform. */
package org.astershift.config;
