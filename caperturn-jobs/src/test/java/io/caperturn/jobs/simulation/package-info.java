/**
 * Simulation of entry processes, sidecar processes, upstreams and a store in virtual time, with faults injected by the
 * tests.
 */
package io.caperturn.jobs.simulation;
