/**
 * Frames between entries and sidecars, and the stored form of a job, both in the protobuf wire format.
 *
 * <p>The fields are written and read by hand: generated classes cost a sidecar more time at its start than the lease of
 * its upstream lasts. {@code src/main/proto/jobs.proto} holds the schema.
 */
package io.caperturn.jobs.message;
