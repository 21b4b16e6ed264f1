package io.caperturn.jobs.owner;

import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.LinkPort;
import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.message.JobRecord;
import io.caperturn.jobs.message.MemberRecord;
import io.caperturn.jobs.message.ProcessRole;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.record.JobWriter;
import io.caperturn.jobs.record.RecordStore;
import io.caperturn.jobs.record.StoredRecord;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/** Adoption of stored jobs whose owner is lost: each falls to one of the entries that are left. */
final class Adoption {
    /** Pause before jobs without an owner are looked for once more, in milliseconds: late writes of a lost entry. */
    private static final long SECOND_SCAN_MILLISECONDS = 1_500;

    private final DecisionLoop loop;
    private final RecordStore store;
    private final LinkPort links;
    private final EntryParameters settings;
    private final Membership membership;
    private final Dispatcher dispatcher;
    private final JobKeeper jobs;
    private final StoredJobs stored;
    private final Function<String, Optional<QueuePolicy>> policies;
    private final Map<String, Recovery> recoveries = new HashMap<>();
    private boolean over;

    Adoption(
            DecisionLoop loop,
            RecordStore store,
            LinkPort links,
            EntryParameters settings,
            Membership membership,
            Dispatcher dispatcher,
            JobKeeper jobs,
            Function<String, Optional<QueuePolicy>> policies) {
        this.loop = loop;
        this.store = store;
        this.links = links;
        this.settings = settings;
        this.membership = membership;
        this.dispatcher = dispatcher;
        this.jobs = jobs;
        this.stored = new StoredJobs(loop, store);
        this.policies = policies;
    }

    /** Adopts nothing more. */
    void stop() {
        over = true;
    }

    /** Takes the loss of an entry. */
    void lost(String incarnation) {
        recoveries.computeIfAbsent(incarnation, this::recover);
        scan();
        loop.after(SECOND_SCAN_MILLISECONDS, this::scan);
    }

    /** Takes the arrival of a process, which may be the new life of one that left jobs behind. */
    void joined() {
        loop.after(SECOND_SCAN_MILLISECONDS, this::scan);
    }

    /** Takes the answer of a sidecar that was told to take nothing more from a lost entry. */
    void answered(String sidecar, JobFrame.Inventory inventory) {
        Recovery recovery = recoveries.get(inventory.fenced());
        if (recovery != null) {
            recovery.answered(sidecar, inventory);
        }
    }

    /** Finds the owner of runs that nobody has claimed, or has them stopped if their job is over. */
    void unclaimed(String sidecar, String job) {
        if (jobs.find(job) != null) {
            return;
        }
        stored.read(job, (open, answer) -> {
            if (open == null && !(answer instanceof CallerAnswers.Lookup.Unavailable)) {
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
            } else if (open != null) {
                takeOver(job, open);
            }
        });
    }

    private void scan() {
        for (int number = 0; number < JobWriter.PARTS; number++) {
            scanPart(JobWriter.partName(number), "");
        }
    }

    private void scanPart(String part, String from) {
        store.read(JobWriter.OPEN_TABLE, part, from, "", outcome -> {
            switch (outcome) {
                case RecordStore.ReadOutcome.Found page -> {
                    page.records().forEach(stored -> takeOver(stored.key().name(), stored));
                    if (page.more()) {
                        scanPart(part, page.records().getLast().key().name() + '\0');
                    }
                }
                case RecordStore.ReadOutcome.Failed failed -> {
                    loop.log().event(EventName.SCAN_FAILED, EventKey.PART, part, EventKey.REASON, failed.reason());
                    loop.after(EntryController.FAULT_RETRY_MILLISECONDS, () -> scanPart(part, from));
                }
            }
        });
    }

    /** Adopts a stored job if its owner is lost and it falls to this entry. */
    void takeOver(String identity, StoredRecord open) {
        if (over || jobs.find(identity) != null || jobs.isInserting(identity)) {
            return;
        }
        JobRecord content;
        try {
            content = JobRecord.of(open.value());
        } catch (IOException e) {
            stored.unreadable(open, e);
            return;
        }
        boolean own = content.owner().equals(settings.incarnation());
        if (!own && (membership.isAlive(content.owner()) || !falls(identity))) {
            return;
        }
        QueuePolicy policy = policies.apply(content.plan().queue()).orElse(null);
        if (policy == null) {
            policy = content.policy();
            loop.log()
                    .event(
                            EventName.QUEUE_UNKNOWN,
                            EventKey.JOB,
                            identity,
                            EventKey.QUEUE,
                            content.plan().queue());
        }
        if (own) {
            // Stored by a write whose answer was lost: none of its tasks was ever sent out.
            jobs.adopt(identity, open.version(), content, policy, dispatcher::ready);
            return;
        }
        Recovery recovery = recoveries.computeIfAbsent(content.owner(), this::recover);
        jobs.adopt(identity, open.version(), content, policy, recovery::adopted);
    }

    private boolean falls(String identity) {
        List<String> entries = membership.of(ProcessRole.ENTRY).stream()
                .map(MemberRecord::node)
                .sorted()
                .toList();
        int share = Math.floorMod(identity.hashCode() / JobWriter.PARTS, Math.max(1, entries.size()));
        return !entries.isEmpty() && entries.get(share).equals(settings.node());
    }

    private Recovery recover(String lost) {
        Recovery recovery = new Recovery(loop, links, membership, dispatcher, lost);
        recovery.start();
        return recovery;
    }
}
