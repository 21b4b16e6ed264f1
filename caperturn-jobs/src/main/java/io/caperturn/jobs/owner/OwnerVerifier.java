package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.message.MemberRecord;
import io.caperturn.jobs.record.RecordStore;
import io.caperturn.jobs.record.RetryBackoff;
import io.caperturn.jobs.record.StoreRetryBudget;
import io.caperturn.jobs.record.StoredRecord;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Verifier of the owners that stored jobs name. The owner of a job is the entry (process that accepts jobs) that sends
 * its tasks to sidecars, the processes beside upstreams.
 *
 * <p>An entry writes jobs only once its own record in the table of processes is stored. So the owner of a job is lost
 * if the table lacks its record, at a version of the store that is not older than the job's. The local replica of the
 * table may be older, and then proves nothing: the table is read from the store. While that fails, the owner is
 * unknown, and the read is repeated.
 */
final class OwnerVerifier {
    /** Limit of the first delay before a failed read is repeated, in milliseconds. */
    private static final long FIRST_RETRY_MILLISECONDS = 250;
    /** Limit of every delay before a failed read is repeated, in milliseconds. */
    private static final long LAST_RETRY_MILLISECONDS = 1_000;

    private final DecisionLoop loop;
    private final RecordStore store;
    private final StoreRetryBudget retries;
    private final RetryBackoff backoff;
    private final ProcessMembership membership;
    /** Questions that the next read of the table answers. */
    private final List<Question> questions = new ArrayList<>();

    private boolean readInProgress;
    private boolean stopped;

    OwnerVerifier(DecisionLoop loop, RecordStore store, StoreRetryBudget retries, ProcessMembership membership) {
        this.loop = loop;
        this.store = store;
        this.retries = retries;
        this.backoff = retries.newBackoff(FIRST_RETRY_MILLISECONDS, LAST_RETRY_MILLISECONDS);
        this.membership = membership;
    }

    /** Question about the owner of a job whose record has a version, and the receiver of the answer. */
    private record Question(String owner, long recordVersion, Consumer<OwnerStanding> receiver) {}

    /**
     * Verifies an owner, at once if the replica of the table of processes suffices.
     *
     * @param owner incarnation of the owner
     * @param recordVersion version of the job's record that names it
     * @param receiver receives the standing of the owner, unless this entry stops before it is known
     */
    void verify(String owner, long recordVersion, Consumer<OwnerStanding> receiver) {
        if (membership.isMember(owner)) {
            receiver.accept(new OwnerStanding.Member());
        } else if (membership.tableVersion() >= recordVersion) {
            receiver.accept(new OwnerStanding.Lost(membership.tableVersion()));
        } else {
            questions.add(new Question(owner, recordVersion, receiver));
            readTableIfNeeded();
        }
    }

    /** Answers no question any more. */
    void stop() {
        stopped = true;
        questions.clear();
    }

    private void readTableIfNeeded() {
        if (!readInProgress && !questions.isEmpty()) {
            readInProgress = true;
            // A question that comes during the read may concern a later record, so the next read answers it.
            List<Question> answered = List.copyOf(questions);
            questions.clear();
            readTable(answered, /* from= */ "", new HashSet<>(), OptionalLong.empty());
        }
    }

    /** Reads the table from a name on, page by page, and adds the incarnations to those found before. */
    private void readTable(
            List<Question> answered, String from, Set<String> incarnations, OptionalLong firstPageVersion) {
        // All records are in the part with the empty name; the read has no upper bound.
        store.read(ProcessRegistration.MEMBER_TABLE, "", from, "", outcome -> {
            if (stopped) {
                return;
            }
            switch (outcome) {
                case RecordStore.ReadOutcome.Found page -> {
                    backoff.reset();
                    page.records().forEach(stored -> addIncarnation(stored, incarnations));
                    long version = firstPageVersion.orElse(page.version());
                    if (page.more()) {
                        String next = page.records().getLast().key().name() + '\0';
                        readTable(answered, next, incarnations, OptionalLong.of(version));
                    } else {
                        readInProgress = false;
                        answered.forEach(question -> answer(question, incarnations, version));
                        readTableIfNeeded();
                    }
                }
                case RecordStore.ReadOutcome.Failed failed -> {
                    loop.log()
                            .event(
                                    EventName.SCAN_FAILED,
                                    EventKey.TABLE,
                                    ProcessRegistration.MEMBER_TABLE,
                                    EventKey.REASON,
                                    failed.reason());
                    questions.addAll(answered);
                    retries.retry(backoff, () -> {
                        readInProgress = false;
                        readTableIfNeeded();
                    });
                }
            }
        });
    }

    private static void addIncarnation(StoredRecord stored, Set<String> incarnations) {
        try {
            incarnations.add(
                    MemberRecord.decode(stored.key().name(), stored.value()).incarnation());
        } catch (IOException e) {
            // The follower of the table logs unreadable records; no owner has one.
        }
    }

    private void answer(Question question, Set<String> incarnations, long version) {
        boolean member = incarnations.contains(question.owner()) || membership.isMember(question.owner());
        loop.log()
                .event(
                        EventName.OWNER_VERIFIED,
                        EventKey.OWNER,
                        question.owner(),
                        EventKey.VERSION,
                        question.recordVersion(),
                        EventKey.BEFORE,
                        membership.tableVersion(),
                        EventKey.TABLE_VERSION,
                        version,
                        EventKey.STATE,
                        member ? "member" : "lost");
        question.receiver().accept(member ? new OwnerStanding.Member() : new OwnerStanding.Lost(version));
    }
}
