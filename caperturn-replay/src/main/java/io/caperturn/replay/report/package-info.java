/** Measures of a replay, and their table, JSON and plot. */
package io.caperturn.replay.report;
