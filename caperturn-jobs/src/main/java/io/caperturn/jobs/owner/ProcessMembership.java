package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.message.MemberRecord;
import io.caperturn.jobs.message.ProcessRole;
import io.caperturn.jobs.record.FollowPace;
import io.caperturn.jobs.record.RecordStore;
import io.caperturn.jobs.record.StoreRetryBudget;
import io.caperturn.jobs.record.StoredRecord;
import io.caperturn.jobs.record.TableFollower;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Running entries (processes that accept jobs) and sidecars (processes beside the upstreams that run tasks), as known
 * to one entry: the stored table of processes, and the time of the last contact with each process.
 *
 * <p>A silent entry is declared lost by another entry, which removes its record from the table. An entry acts as the
 * owner of its jobs only while it knows that this has not happened: either the store has confirmed the table recently,
 * or all other entries, one of which would have to remove the record, are in contact with this one.
 */
final class ProcessMembership implements TableFollower.Listener {
    /**
     * Silence after which an entry is declared lost, in milliseconds: several heartbeats, which are sent every 400 ms.
     */
    static final long ENTRY_TIMEOUT_MILLISECONDS = 2_500;
    /**
     * Maximum age of the confirmation that this entry has not been declared lost, in milliseconds: of the store's last
     * answer, or else of the last contact with every other entry. Must not exceed {@link #ENTRY_TIMEOUT_MILLISECONDS}.
     */
    static final long CONFIRMATION_MAX_AGE_MILLISECONDS = 2_400;
    /**
     * Time without contact after which a sidecar's record is removed, in milliseconds: long after its runs have
     * expired.
     */
    private static final long SIDECAR_TIMEOUT_MILLISECONDS = 30_000;
    /**
     * Maximum time since the last contact with an entry that is expected to remove silent processes, in milliseconds:
     * two heartbeats and some delay.
     */
    private static final long REMOVER_CONTACT_MILLISECONDS = 1_000;
    /** Time after which the store confirms an unchanged table, in milliseconds. */
    private static final long FOLLOW_WAIT_MILLISECONDS = 1_000;
    /**
     * Longest pause in which changes of the table are gathered, in milliseconds. Together with
     * {@link #FOLLOW_WAIT_MILLISECONDS} it must stay well below {@link #CONFIRMATION_MAX_AGE_MILLISECONDS}.
     */
    private static final long LONGEST_FOLLOW_PAUSE_MILLISECONDS = 250;

    private final DecisionLoop loop;
    private final RecordStore store;
    private final EntryParameters parameters;
    private final ChangeListener listener;
    private final StoreRetryBudget retries;
    private final TableFollower tableFollower;
    private final MemberRemoval removal;
    private final OwnerVerifier ownerVerifier;
    private final Map<String, Member> members = new HashMap<>();
    /** Incarnations to which a link is open; some may not be in the table yet. */
    private final Set<String> linkedIncarnations = new HashSet<>();

    private boolean registered;
    private boolean leaving;

    ProcessMembership(
            DecisionLoop loop,
            RecordStore store,
            StoreRetryBudget retries,
            EntryParameters parameters,
            ChangeListener listener) {
        this.loop = loop;
        this.store = store;
        this.parameters = parameters;
        this.listener = listener;
        this.retries = retries;
        this.tableFollower = new TableFollower(
                store,
                loop,
                ProcessRegistration.MEMBER_TABLE,
                this,
                FollowPace.gathering(LONGEST_FOLLOW_PAUSE_MILLISECONDS, FOLLOW_WAIT_MILLISECONDS),
                retries);
        this.removal = new MemberRemoval(loop, store, retries, parameters.node(), tableFollower::hasten);
        this.ownerVerifier = new OwnerVerifier(loop, store, retries, this);
    }

    /** Listener for changes of the table of processes. */
    interface ChangeListener {
        /** A process joined, or a known process has a new incarnation: it was started again. */
        void memberJoined(MemberRecord member);

        /** An incarnation of a process is no longer in the table, and will not return. */
        void memberLost(MemberRecord member);

        /** Another entry declared this entry lost. */
        void handleDeclaredLost();
    }

    /** Process in the table: its decoded record, the record as stored, and the contact with it. */
    private static final class Member {
        private final MemberRecord content;
        private StoredRecord stored;
        private long lastContactAt;

        Member(MemberRecord content, StoredRecord stored, long lastContactAt) {
            this.content = content;
            this.stored = stored;
            this.lastContactAt = lastContactAt;
        }
    }

    /** Starts following the table, and registers this entry in it. */
    void start() {
        tableFollower.start();
        new ProcessRegistration(
                        store,
                        loop,
                        parameters.node(),
                        previous -> new MemberRecord(
                                ProcessRole.ENTRY,
                                parameters.node(),
                                parameters.incarnation(),
                                parameters.address(),
                                /* zone= */ "",
                                Optional.empty()),
                        this::handleRegistered,
                        retries)
                .start();
    }

    /** Handles that the record of this entry is stored; no job is accepted until the table has it too. */
    private void handleRegistered(long version) {
        registered = true;
        tableFollower.hasten();
    }

    /** Stops following the table, and reports no further loss of this entry. */
    void stop() {
        leaving = true;
        ownerVerifier.stop();
        tableFollower.stop();
    }

    /** Returns whether the record of this entry is stored, and is in the table as last read. */
    boolean isRegistered() {
        return registered && members.containsKey(parameters.node());
    }

    /** Removes the record of this entry, so that others take over its jobs at once; the receiver gets the success. */
    void leave(Consumer<Boolean> receiver) {
        leaving = true;
        Member own = members.get(parameters.node());
        if (own == null) {
            receiver.accept(false);
        } else {
            ProcessRegistration.remove(
                    store,
                    own.stored,
                    outcome -> receiver.accept(outcome instanceof RecordStore.WriteOutcome.Committed));
        }
    }

    @Override
    public void handleChange(StoredRecord stored) {
        MemberRecord content;
        try {
            content = MemberRecord.decode(stored.key().name(), stored.value());
        } catch (IOException e) {
            loop.log()
                    .event(
                            EventName.RECORD_UNREADABLE,
                            EventKey.MEMBER,
                            stored.key().name(),
                            EventKey.REASON,
                            e.getMessage(),
                            EventKey.ACTION,
                            "ignored");
            return;
        }
        Member previous = members.get(content.node());
        if (previous != null && previous.content.incarnation().equals(content.incarnation())) {
            previous.stored = stored;
            return;
        }
        members.put(content.node(), new Member(content, stored, loop.monotonicMilliseconds()));
        loop.log()
                .event(
                        EventName.MEMBER,
                        EventKey.NODE,
                        content.node(),
                        EventKey.ROLE,
                        content.role(),
                        EventKey.INCARNATION,
                        content.incarnation(),
                        EventKey.VERSION,
                        stored.version());
        if (previous != null) {
            notifyLost(previous.content);
        }
        if (!content.incarnation().equals(parameters.incarnation())) {
            listener.memberJoined(content);
        }
    }

    @Override
    public void handleRemoval(String name) {
        Member member = members.remove(name);
        if (member != null) {
            loop.log()
                    .event(
                            EventName.MEMBER_LOST,
                            EventKey.NODE,
                            name,
                            EventKey.INCARNATION,
                            member.content.incarnation());
            notifyLost(member.content);
        }
    }

    private void notifyLost(MemberRecord content) {
        removal.forget(content.incarnation());
        if (content.incarnation().equals(parameters.incarnation())) {
            if (!leaving) {
                listener.handleDeclaredLost();
            }
        } else {
            listener.memberLost(content);
        }
    }

    /** Records that a frame of the process on an instance has arrived. */
    void recordContact(String node) {
        Member member = members.get(node);
        if (member != null) {
            member.lastContactAt = loop.monotonicMilliseconds();
        }
    }

    /** Records whether there is a link (connection) to an incarnation of the process on an instance. */
    void setLinked(String node, String incarnation, boolean linked) {
        if (linked) {
            linkedIncarnations.add(incarnation);
        } else {
            linkedIncarnations.remove(incarnation);
        }
        recordContact(node);
    }

    private boolean isLinked(Member member) {
        return linkedIncarnations.contains(member.content.incarnation());
    }

    /** Returns whether an incarnation of a process is in the table of processes. */
    boolean isMember(String incarnation) {
        return members.values().stream()
                .anyMatch(member -> member.content.incarnation().equals(incarnation));
    }

    /** Returns whether there is a link to an incarnation in the table, and a frame of it has arrived within a time. */
    boolean isInContact(String incarnation, long silenceMilliseconds) {
        return members.values().stream()
                .anyMatch(member -> member.content.incarnation().equals(incarnation)
                        && isLinked(member)
                        && silence(member) <= silenceMilliseconds);
    }

    /** Returns the version of the store up to which the changes of the table are known; 0 before the first read. */
    long tableVersion() {
        return tableFollower.replicaVersion();
    }

    /**
     * Verifies whether the owner that the record of a stored job names is lost, at once if the replica of the table
     * suffices.
     *
     * @param owner incarnation of the owner
     * @param recordVersion version of the job's record
     * @param receiver receives the standing of the owner, unless this entry stops before it is known
     */
    void verifyOwner(String owner, long recordVersion, Consumer<OwnerStanding> receiver) {
        ownerVerifier.verify(owner, recordVersion, receiver);
    }

    /** Returns the instances of all entries in the table, in the order of their names. */
    List<String> entryNodes() {
        return membersWithRole(ProcessRole.ENTRY).stream()
                .map(MemberRecord::node)
                .sorted()
                .toList();
    }

    Collection<MemberRecord> membersWithRole(ProcessRole role) {
        return members.values().stream()
                .map(member -> member.content)
                .filter(member -> member.role() == role)
                .toList();
    }

    /** Returns whether the store has answered recently. */
    boolean hasStoreAnsweredRecently() {
        return tableFollower.lastAnswerAt() > loop.monotonicMilliseconds() - CONFIRMATION_MAX_AGE_MILLISECONDS;
    }

    /** Returns whether this entry knows that no other entry has declared it lost. */
    boolean hasConfirmedMembership() {
        if (!registered) {
            return false;
        }
        return hasStoreAnsweredRecently()
                || members.values().stream()
                        .filter(this::isOtherEntry)
                        .allMatch(member -> isLinked(member)
                                && member.lastContactAt
                                        > loop.monotonicMilliseconds() - CONFIRMATION_MAX_AGE_MILLISECONDS);
    }

    private boolean isOtherEntry(Member member) {
        return member.content.role() == ProcessRole.ENTRY
                && !member.content.incarnation().equals(parameters.incarnation());
    }

    /** Declares processes lost that have been silent for longer than their time-out. */
    void tick() {
        if (!hasStoreAnsweredRecently() || !isRegistered() || leaving) {
            return;
        }
        List<String> removers = new ArrayList<>();
        List<Member> silentMembers = new ArrayList<>();
        for (Member member : members.values()) {
            if (member.content.incarnation().equals(parameters.incarnation())) {
                continue;
            }
            if (isOtherEntry(member) && isLinked(member) && silence(member) <= REMOVER_CONTACT_MILLISECONDS) {
                removers.add(member.content.node());
            }
            if (silence(member) > timeout(member)) {
                silentMembers.add(member);
            }
        }
        for (Member member : silentMembers) {
            if (member.content.role() == ProcessRole.ENTRY) {
                tableFollower.hasten(); // Its jobs wait to be adopted.
            }
            removal.handleSilence(member.content, member.stored, silence(member), timeout(member), removers);
        }
    }

    private long silence(Member member) {
        return loop.monotonicMilliseconds() - member.lastContactAt;
    }

    private static long timeout(Member member) {
        return member.content.role() == ProcessRole.ENTRY ? ENTRY_TIMEOUT_MILLISECONDS : SIDECAR_TIMEOUT_MILLISECONDS;
    }
}
