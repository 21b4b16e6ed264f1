/** What is stored: the port to the platform's store, and the grouping of writes. */
package io.caperturn.jobs.record;
