package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.LinkPort;
import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.message.JobRecord;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.record.JobWriter;
import io.caperturn.jobs.record.StoredRecord;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Adopter of stored jobs whose owner is lost. The owner of a job is the entry (process that accepts jobs) that sends
 * its tasks to sidecars, the processes beside the upstreams that run tasks. Each job of a lost owner is assigned to one
 * of the remaining entries, which adopts it: stores itself as the owner and recovers the runs from the sidecars.
 *
 * <p>After a loss every entry adopts the jobs that their hash assigns to it. A job that is found without such an event,
 * by a periodic scan or because a caller asks for it, is adopted by the entry that finds it.
 *
 * <p>The stored table of open (unfinished) jobs is divided into parts, by the hash of the job.
 */
final class OrphanedJobAdopter {
    private final DecisionLoop loop;
    private final LinkPort links;
    private final EntryParameters parameters;
    private final ProcessMembership membership;
    private final TaskDispatcher dispatcher;
    private final OwnedJobRepository jobs;
    private final StoredJobReader storedJobReader;
    private final Function<String, Optional<QueuePolicy>> policyByQueueName;
    private final Map<String, LostEntryRecovery> recoveries = new HashMap<>();
    private final OpenJobScans scans;
    private final UnclaimedRunAnswers unclaimedRuns;
    private final OwnedJobCheck ownedJobCheck;
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
        this.ownedJobCheck = new OwnedJobCheck(loop, jobs);
        this.unclaimedRuns = new UnclaimedRunAnswers(loop, links, parameters, jobs, dispatcher, storedJobReader, this);
        this.scans = new OpenJobScans(loop, parameters, membership, this::scan);
    }

    /** Starts to look for jobs without an owner at an interval. */
    void start() {
        scans.start();
    }

    /** Stops the adoption of jobs, also of those for which it is in progress: other entries adopt them from now on. */
    void stop() {
        stopped = true;
        scans.stop();
        jobs.stopAdoptions();
    }

    /** Recovers the runs and adopts the jobs of a lost incarnation (start) of an entry. */
    void entryLost(String incarnation) {
        recoveries.computeIfAbsent(incarnation, this::startRecovery);
        scans.entryLost();
    }

    /** Handles a process that joined; its previous incarnation may have left jobs without an owner. */
    void processJoined() {
        scans.request();
    }

    /** Handles a new link to another entry: a notice of a cancelled job may have been lost with the earlier one. */
    void entryLinkOpened() {
        scans.request();
    }

    /** Handles the inventory (list of all runs) of a sidecar that was told to accept nothing more from a lost entry. */
    void handleInventory(String sidecar, JobFrame.Inventory inventory) {
        LostEntryRecovery recovery = recoveries.get(inventory.fenced());
        if (recovery != null) {
            recovery.handleInventory(sidecar, inventory);
        }
    }

    /** Returns the answers to sidecars that ask about runs without an owner. */
    UnclaimedRunAnswers unclaimedRuns() {
        return unclaimedRuns;
    }

    /**
     * Reads all open jobs from the store, adopts those whose owner is lost, and checks that those which this entry owns
     * are among them.
     */
    private void scan(boolean onlyAssigned) {
        storedJobReader.readOpenJobs(new StoredJobReader.ScanReceiver() {
            @Override
            public Consumer<StoredJobReader.Page> pageRequested() {
                return ownedJobCheck.begin();
            }

            @Override
            public void jobFound(StoredRecord openRecord) {
                String identity = openRecord.key().name();
                if (!jobs.isInserting(identity) && (!onlyAssigned || isAssignedHere(identity))) {
                    ensureOwner(identity, openRecord, () -> {});
                }
            }
        });
    }

    /**
     * Adopts a stored job if the owner is lost, whichever entry it is assigned to. While nothing proves that the owner
     * is lost or is not, nothing follows.
     *
     * <p>A record that names this entry as the owner is no reason to adopt it: it is the effect of a write in progress,
     * whose answer makes the job an owned one, or was read before the job finished.
     *
     * @param identity the job's identity
     * @param openRecord the stored job
     * @param owned called once an entry is known to own the job, or the job has finished; not if this entry stops
     *     before
     * @return false if the record is unreadable, so that its owner stays unknown
     */
    boolean ensureOwner(String identity, StoredRecord openRecord, Runnable owned) {
        JobRecord content;
        try {
            content = JobRecord.decode(openRecord.value());
        } catch (IOException e) {
            storedJobReader.handleUnreadable(openRecord, e);
            return false;
        }
        if (isOwnedOrAdopted(identity) || content.owner().equals(parameters.incarnation())) {
            owned.run();
            return true;
        }
        membership.verifyOwner(content.owner(), openRecord.version(), standing -> {
            switch (standing) {
                case OwnerStanding.Member member -> owned.run();
                case OwnerStanding.Lost lost -> {
                    if (isOwnedOrAdopted(identity)) {
                        owned.run();
                    } else if (!stopped && membership.isRegistered()) {
                        adopt(identity, openRecord.version(), content, lost, owned);
                    }
                }
            }
        });
        return true;
    }

    private boolean isOwnedOrAdopted(String identity) {
        return jobs.find(identity) != null || jobs.isAdopting(identity);
    }

    private void adopt(String identity, long version, JobRecord content, OwnerStanding.Lost lost, Runnable owned) {
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
        jobs.adopt(identity, version, content, policy, lost, outcome -> {
            switch (outcome) {
                case AdoptionOutcome.Adopted adopted -> {
                    recovery.addJob(adopted.job());
                    owned.run();
                }
                case AdoptionOutcome.Changed changed -> ensureOwner(identity, changed.openRecord(), owned);
                case AdoptionOutcome.Finished finished -> owned.run();
            }
        });
    }

    /**
     * Returns whether the hash of a job selects this entry among the known entries. The hash is divided by the number
     * of parts because its remainder already selects the part of the job.
     */
    boolean isAssignedHere(String identity) {
        List<String> entryNodes = membership.entryNodes();
        int index = Math.floorMod(identity.hashCode() / JobWriter.PARTS, Math.max(1, entryNodes.size()));
        return !entryNodes.isEmpty() && entryNodes.get(index).equals(parameters.node());
    }

    private LostEntryRecovery startRecovery(String lost) {
        LostEntryRecovery recovery = new LostEntryRecovery(loop, links, membership, dispatcher, jobs, lost);
        recovery.start();
        return recovery;
    }
}
