/** Measurement of the slowdown of tasks beside tasks of other queues, and its cost in placing; no network, no clock. */
package io.caperturn.jobs.interference;
