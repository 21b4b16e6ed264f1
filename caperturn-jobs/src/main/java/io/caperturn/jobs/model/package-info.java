/** Jobs, their steps and tasks, and the policies of the queues that they belong to. */
package io.caperturn.jobs.model;
