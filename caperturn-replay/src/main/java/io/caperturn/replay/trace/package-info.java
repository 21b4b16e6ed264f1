/** Traces: what arrived and what failed, their JSON lines, and generators of named ones. */
package io.caperturn.replay.trace;
