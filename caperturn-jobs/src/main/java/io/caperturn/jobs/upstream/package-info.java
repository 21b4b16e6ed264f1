/**
 * Decisions of a sidecar: which runs start on its upstream, how their leases are extended, and when they have finished.
 */
package io.caperturn.jobs.upstream;
