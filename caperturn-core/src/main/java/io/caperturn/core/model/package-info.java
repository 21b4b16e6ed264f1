/** Immutable records of the domain: submissions, tasks, attempts, outcomes, answers and the operators' table. */
package io.caperturn.core.model;
