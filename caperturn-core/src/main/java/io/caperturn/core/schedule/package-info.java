/**
 * Scheduling in an entry (a process that accepts submissions): admission, order, limits and placement of waiting tasks.
 *
 * <p>A task belongs to a kind (a type of work that has a row in the operators' table) and to a team. It is placed at a
 * back end: a sidecar process and the upstream beside it, which runs the task in one of its slots.
 */
package io.caperturn.core.schedule;
