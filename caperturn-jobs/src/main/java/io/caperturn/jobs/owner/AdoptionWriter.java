package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.message.JobRecord;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.record.JobWriter;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Writer of adoptions: each makes this entry, a process that accepts jobs, the owner of a stored job whose owner is
 * lost, by one conditional write.
 *
 * <p>While the answer to that write is outstanding, the store may hold the job with this entry as its owner. Nothing
 * follows from that before the outcome is known, and no second adoption of the job is begun.
 */
final class AdoptionWriter {
    private final DecisionLoop loop;
    private final JobWriter writer;
    private final EntryParameters parameters;
    private final Set<String> jobsInProgress = new HashSet<>();
    private boolean stopped;

    AdoptionWriter(DecisionLoop loop, JobWriter writer, EntryParameters parameters) {
        this.loop = loop;
        this.writer = writer;
        this.parameters = parameters;
    }

    /**
     * Stops adoptions, because other entries own the jobs of this one from now on: also those whose adoption is in
     * progress, whatever its outcome.
     */
    void stop() {
        stopped = true;
    }

    /** Returns whether the outcome of the adoption of a job is still unknown. */
    boolean isInProgress(String job) {
        return jobsInProgress.contains(job);
    }

    /**
     * Stores this entry as the next owner of a job, in the next generation.
     *
     * @param identity the job's identity; its adoption must not be in progress
     * @param version expected version of the stored job
     * @param before record of that version
     * @param policy policy of the job's queue, to be stored with it
     * @param lost proof that the previous owner is lost
     * @param receiver receives the outcome, unless adoptions are stopped before
     */
    void adopt(
            String identity,
            long version,
            JobRecord before,
            QueuePolicy policy,
            OwnerStanding.Lost lost,
            Consumer<AdoptionOutcome> receiver) {
        if (!jobsInProgress.add(identity)) {
            throw new IllegalStateException("adoption in progress: " + identity);
        }
        JobRecord after = new JobRecord(
                parameters.incarnation(),
                before.generation() + 1,
                before.plan(),
                policy,
                before.acceptedMilliseconds(),
                before.started(),
                before.progress());
        writer.update(identity, version, after, result -> {
            jobsInProgress.remove(identity);
            if (stopped) {
                return;
            }
            receiver.accept(
                    switch (result) {
                        case JobWriter.Result.Stored stored ->
                            new AdoptionOutcome.Adopted(
                                    restore(identity, before.owner(), lost, after, stored.version()));
                        case JobWriter.Result.Conflicted conflicted
                        when conflicted.unfinishedRecord() != null ->
                            new AdoptionOutcome.Changed(conflicted.unfinishedRecord());
                        case JobWriter.Result.Conflicted finished -> new AdoptionOutcome.Finished();
                        case JobWriter.Result.Refused refused ->
                            throw new IllegalStateException("only job inserts can be refused");
                    });
        });
    }

    private OwnedJob restore(
            String identity, String previousOwner, OwnerStanding.Lost lost, JobRecord content, long version) {
        long age = Math.max(0, loop.wallClockMilliseconds() - content.acceptedMilliseconds());
        OwnedJob job = OwnedJob.restore(
                identity,
                content,
                content.policy(),
                loop.monotonicMilliseconds() - Math.min(age, parameters.finishedJobRetentionMilliseconds()));
        job.setVersion(version);
        loop.log()
                .event(
                        EventName.ADOPTED,
                        EventKey.JOB,
                        identity,
                        EventKey.FROM,
                        previousOwner,
                        EventKey.TABLE_VERSION,
                        lost.tableVersion(),
                        EventKey.GENERATION,
                        content.generation(),
                        EventKey.VERSION,
                        version);
        loop.log().count("adopted");
        return job;
    }
}
