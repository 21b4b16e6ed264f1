/** Port to the platform's transactional store, a writer of jobs that sends them in batches, and replicas of tables. */
package io.caperturn.jobs.record;
