/** The platform's and the operators' settings, and limits that follow from the platform. */
package org.astershift.config;
