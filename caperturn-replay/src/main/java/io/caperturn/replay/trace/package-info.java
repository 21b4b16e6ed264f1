/** Traces of submissions and faults, their file format, and the generator of the predefined traces. */
package io.caperturn.replay.trace;
