/** Entries, sidecars, upstreams and a store in virtual time, with faults at given moments. */
package io.caperturn.jobs.simulation;
