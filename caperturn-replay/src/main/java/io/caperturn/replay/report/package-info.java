/** Measures of a replay, and their output as a table, JSON and a plot. */
package io.caperturn.replay.report;
