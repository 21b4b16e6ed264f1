/**
 * Decisions of an entry: which jobs it accepts, where their tasks run, what it stores, and which jobs of lost entries
 * it takes over.
 */
package io.caperturn.jobs.owner;
