/** Port to the platform's transactional store, with a batching writer of jobs and a follower of tables. */
package io.caperturn.jobs.record;
