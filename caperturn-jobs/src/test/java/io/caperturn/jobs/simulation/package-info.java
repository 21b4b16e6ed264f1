/** Simulation of entries, sidecars, upstreams and a store in virtual time, with faults injected at given times. */
package io.caperturn.jobs.simulation;
