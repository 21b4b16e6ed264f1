/** Dispatch of jobs on the platform: decision logic of entries and sidecars, and the ports through which it acts. */
package io.caperturn.jobs;
