/** Model of jobs, their steps, tasks and runs, of queues, and of upstreams. */
package io.caperturn.jobs.model;
