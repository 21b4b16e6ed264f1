/** Availability zones in which the operator wants no task to be started, as known to a process. */
package io.caperturn.jobs.zone;
