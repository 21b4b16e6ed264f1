/**
 * Decision logic of a sidecar, the process beside an upstream that starts runs there for entries (processes that own
 * jobs): which runs start, how their leases are extended, and when they have finished.
 */
package io.caperturn.jobs.upstream;
