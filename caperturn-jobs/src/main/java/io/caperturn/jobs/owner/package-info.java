/** The entry's decisions: which jobs are taken, where their tasks run, what is stored, and who takes over from whom. */
package io.caperturn.jobs.owner;
