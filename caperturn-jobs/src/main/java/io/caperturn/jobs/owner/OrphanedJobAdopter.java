package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.LinkPort;
import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.message.JobRecord;
import io.caperturn.jobs.message.MemberRecord;
import io.caperturn.jobs.message.ProcessRole;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.record.JobWriter;
import io.caperturn.jobs.record.StoredRecord;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * Adopter of stored jobs whose owner is lost. The owner of a job is the entry (process that accepts jobs) that sends
 * its tasks to sidecars, the processes beside the upstreams that run tasks. Each job of a lost owner is assigned to one
 * of the remaining entries, which adopts it: stores itself as the owner and recovers the runs from the sidecars.
 *
 * <p>The stored table of open (unfinished) jobs is divided into parts, by the hash of the job.
 */
final class OrphanedJobAdopter {
    /**
     * Delay before the second scan for jobs whose owner is lost, in milliseconds: it finds jobs that the lost entry
     * wrote after the first scan had read them.
     */
    private static final long RESCAN_MILLISECONDS = 1_500;

    /** Shortest time between the first scans for lost entries, in milliseconds. */
    private static final long SCAN_INTERVAL_MILLISECONDS = 250;

    private final DecisionLoop loop;
    private final LinkPort links;
    private final EntryParameters parameters;
    private final ProcessMembership membership;
    private final TaskDispatcher dispatcher;
    private final OwnedJobRepository jobs;
    private final StoredJobReader storedJobReader;
    private final Function<String, Optional<QueuePolicy>> policyByQueueName;
    private final Map<String, LostEntryRecovery> recoveries = new HashMap<>();
    private boolean scanRequested;
    /** When the latest first scan for lost entries was made, in milliseconds of the loop's clock. */
    private long scannedAt = Long.MIN_VALUE / 2;

    /** When the latest scan that was asked for is due, in milliseconds of the loop's clock. */
    private long scanDueAt;

    private boolean scanScheduled;
    private boolean stopped;

    OrphanedJobAdopter(
            DecisionLoop loop,
            StoredJobReader storedJobReader,
            LinkPort links,
            EntryParameters parameters,
            ProcessMembership membership,
            TaskDispatcher dispatcher,
            OwnedJobRepository jobs,
            Function<String, Optional<QueuePolicy>> policyByQueueName) {
        this.loop = loop;
        this.storedJobReader = storedJobReader;
        this.links = links;
        this.parameters = parameters;
        this.membership = membership;
        this.dispatcher = dispatcher;
        this.jobs = jobs;
        this.policyByQueueName = policyByQueueName;
    }

    /** Stops the adoption of jobs, also of those for which it is in progress: other entries adopt them from now on. */
    void stop() {
        stopped = true;
        jobs.stopAdoptions();
    }

    /** Recovers the runs and adopts the jobs of a lost incarnation (start) of an entry. */
    void entryLost(String incarnation) {
        recoveries.computeIfAbsent(incarnation, this::startRecovery);
        if (!scanRequested) {
            // Entries whose loss is told by one answer of the store, or within the interval, share their scans.
            scanRequested = true;
            long delay = Math.max(0, scannedAt + SCAN_INTERVAL_MILLISECONDS - loop.monotonicMilliseconds());
            loop.after(delay, () -> {
                scanRequested = false;
                scannedAt = loop.monotonicMilliseconds();
                scan();
                requestRescan();
            });
        }
    }

    /** Handles a process that joined; its previous incarnation may have left jobs without an owner. */
    void processJoined() {
        requestRescan();
    }

    /**
     * Asks for a scan after the delay. Several that are asked for within that time are met by one after the last of
     * them, and one in between.
     */
    private void requestRescan() {
        scanDueAt = loop.monotonicMilliseconds() + RESCAN_MILLISECONDS;
        if (!scanScheduled) {
            scanScheduled = true;
            loop.after(RESCAN_MILLISECONDS, this::scanWhenDue);
        }
    }

    private void scanWhenDue() {
        scanScheduled = false;
        scan();
        long remaining = scanDueAt - loop.monotonicMilliseconds();
        if (remaining > 0) {
            scanScheduled = true;
            loop.after(remaining, this::scanWhenDue);
        }
    }

    /** Handles the inventory (list of all runs) of a sidecar that was told to accept nothing more from a lost entry. */
    void handleInventory(String sidecar, JobFrame.Inventory inventory) {
        LostEntryRecovery recovery = recoveries.get(inventory.fenced());
        if (recovery != null) {
            recovery.handleInventory(sidecar, inventory);
        }
    }

    /** Handles a job whose runs at a sidecar have no owner: adopts it if eligible, or reports it there as finished. */
    void handleUnclaimed(String sidecar, String job) {
        if (jobs.find(job) != null) {
            return;
        }
        storedJobReader.read(job, (openRecord, answer) -> {
            if (openRecord == null && !(answer instanceof CallerAnswers.Lookup.Unavailable)) {
                loop.log()
                        .event(
                                EventName.UNCLAIMED,
                                EventKey.JOB,
                                job,
                                EventKey.SIDECAR,
                                sidecar,
                                EventKey.STATE,
                                answer);
                links.send(sidecar, new JobFrame.JobOver(job));
            } else if (openRecord != null) {
                adoptIfEligible(job, openRecord);
            }
        });
    }

    /** Reads all open jobs from the store, and adopts those that are eligible. */
    private void scan() {
        if (!stopped) {
            storedJobReader.readOpenJobs(stored -> adoptIfEligible(stored.key().name(), stored));
        }
    }

    /**
     * Adopts a stored job that this entry does not own, if the owner is lost and the job is assigned to this entry.
     *
     * <p>A record that names this entry as the owner is never a reason: it is the effect of a write in progress, whose
     * answer makes the job an owned one, or was read before the job finished.
     */
    void adoptIfEligible(String identity, StoredRecord openRecord) {
        if (!mayAdopt(identity)) {
            return;
        }
        JobRecord content;
        try {
            content = JobRecord.decode(openRecord.value());
        } catch (IOException e) {
            storedJobReader.handleUnreadable(openRecord, e);
            return;
        }
        if (!content.owner().equals(parameters.incarnation())) {
            membership.verifyOwner(content.owner(), openRecord.version(), standing -> {
                if (standing instanceof OwnerStanding.Lost lost && mayAdopt(identity)) {
                    adopt(identity, openRecord.version(), content, lost);
                }
            });
        }
    }

    /**
     * Returns whether this entry may adopt a job if the owner is lost. An entry whose own record is not stored yet
     * would be taken for lost itself.
     */
    private boolean mayAdopt(String identity) {
        return !stopped
                && membership.isRegistered()
                && jobs.find(identity) == null
                && !jobs.isBecomingOwner(identity)
                && isAssignedHere(identity);
    }

    private void adopt(String identity, long version, JobRecord content, OwnerStanding.Lost lost) {
        QueuePolicy policy = policyByQueueName.apply(content.plan().queue()).orElse(null);
        if (policy == null) {
            policy = content.policy(); // as stored with the job
            loop.log()
                    .event(
                            EventName.QUEUE_UNKNOWN,
                            EventKey.JOB,
                            identity,
                            EventKey.QUEUE,
                            content.plan().queue());
        }
        LostEntryRecovery recovery = recoveries.computeIfAbsent(content.owner(), this::startRecovery);
        jobs.adopt(identity, version, content, policy, lost, recovery::addJob);
    }

    /**
     * Returns whether the hash of a job selects this entry among the known entries. The hash is divided by the number
     * of parts because its remainder already selects the part of the job.
     */
    private boolean isAssignedHere(String identity) {
        List<String> entryNames = membership.membersWithRole(ProcessRole.ENTRY).stream()
                .map(MemberRecord::node)
                .sorted()
                .toList();
        int index = Math.floorMod(identity.hashCode() / JobWriter.PARTS, Math.max(1, entryNames.size()));
        return !entryNames.isEmpty() && entryNames.get(index).equals(parameters.node());
    }

    private LostEntryRecovery startRecovery(String lost) {
        LostEntryRecovery recovery = new LostEntryRecovery(loop, links, membership, dispatcher, lost);
        recovery.start();
        return recovery;
    }
}
