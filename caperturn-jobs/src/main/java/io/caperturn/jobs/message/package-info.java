/**
 * Frames (messages between processes) and stored records of jobs and processes, all in the protobuf wire format.
 *
 * <p>The fields are encoded and decoded by hand: generated classes would delay the start of a sidecar process by more
 * than the duration of the leases under which its upstream executes runs.
 */
package io.caperturn.jobs.message;
