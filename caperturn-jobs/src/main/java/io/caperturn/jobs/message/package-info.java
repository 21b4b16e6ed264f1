/**
 * Frames between entries and sidecars, and stored records of jobs and processes, all in the protobuf wire format.
 *
 * <p>The fields are encoded and decoded by hand, because generated classes prolong the start of a sidecar by more than
 * the lease of its upstream.
 */
package io.caperturn.jobs.message;
