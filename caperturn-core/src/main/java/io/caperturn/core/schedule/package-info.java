/** Scheduling: admission, order, limits and placement of waiting tasks. */
package io.caperturn.core.schedule;
