/**
 * Decision logic of an entry, a process that accepts jobs from callers: which jobs it accepts, on which upstreams
 * (services that run tasks) it has their tasks run, what it stores, and which jobs of lost entries it takes over.
 */
package io.caperturn.jobs.owner;
