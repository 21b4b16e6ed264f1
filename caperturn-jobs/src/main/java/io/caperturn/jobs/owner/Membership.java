package io.caperturn.jobs.owner;

import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.message.MemberRecord;
import io.caperturn.jobs.message.ProcessRole;
import io.caperturn.jobs.record.RecordStore;
import io.caperturn.jobs.record.StoredRecord;
import io.caperturn.jobs.record.TableFollower;
import java.io.IOException;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Who takes part, as an entry sees it: the stored table of processes, and when each was last heard of.
 *
 * <p>An entry that is silent to another one is declared lost by the removal of its record. An entry acts on its jobs
 * only while it knows that this hasn't happened: the store has confirmed its record lately, or every other entry, one
 * of which would have to do it, is in touch with it.
 */
final class Membership implements TableFollower.Listener {
    /** Silence after which an entry is declared lost, in milliseconds: several signs of life at an interval of 400. */
    static final long SILENCE_MILLISECONDS = 2_500;
    /** Age of the store's confirmation up to which an entry acts, in milliseconds; not above the silence. */
    static final long CONFIRMATION_MILLISECONDS = 2_400;
    /** Time without a link after which a sidecar's record is removed, in milliseconds: long after its runs lapsed. */
    private static final long SIDECAR_SILENCE_MILLISECONDS = 30_000;

    private final DecisionLoop loop;
    private final RecordStore store;
    private final EntryParameters settings;
    private final Events events;
    private final TableFollower follower;
    private final Map<String, Member> members = new HashMap<>();
    private final Set<String> removing = new HashSet<>();
    private boolean registered;
    private boolean leaving;

    Membership(DecisionLoop loop, RecordStore store, EntryParameters settings, Events events) {
        this.loop = loop;
        this.store = store;
        this.settings = settings;
        this.events = events;
        this.follower = new TableFollower(store, loop, ProcessRegistration.MEMBER_TABLE, this);
    }

    /** Receiver of changes. */
    interface Events {
        /** A process is new, or a new life of a known one. */
        void joined(MemberRecord member);

        /** A life of a process is over for good. */
        void lost(MemberRecord member);

        /** This entry was declared lost. */
        void resigned();
    }

    private static final class Member {
        private final MemberRecord content;
        private StoredRecord stored;
        private long heardAt;
        private boolean linked;

        Member(MemberRecord content, StoredRecord stored, long heardAt) {
            this.content = content;
            this.stored = stored;
            this.heardAt = heardAt;
        }
    }

    void start() {
        follower.start();
        new ProcessRegistration(
                        store,
                        loop,
                        settings.node(),
                        before -> new MemberRecord(
                                ProcessRole.ENTRY,
                                settings.node(),
                                settings.incarnation(),
                                settings.address(),
                                Optional.empty()),
                        version -> registered = true)
                .start();
    }

    /** Follows the table no longer. */
    void stop() {
        leaving = true;
        follower.stop();
    }

    boolean isRegistered() {
        return registered && members.containsKey(settings.node());
    }

    /** Removes this entry's own record, so that others take over its jobs at once. */
    void leave(Consumer<Boolean> receiver) {
        leaving = true;
        Member own = members.get(settings.node());
        if (own == null) {
            receiver.accept(false);
        } else {
            ProcessRegistration.remove(store, own.stored, receiver);
        }
    }

    @Override
    public void changed(StoredRecord stored) {
        MemberRecord content;
        try {
            content = MemberRecord.of(stored.value());
        } catch (IOException e) {
            loop.log()
                    .event(
                            EventName.RECORD_UNREADABLE,
                            EventKey.MEMBER,
                            stored.key().name(),
                            EventKey.REASON,
                            e.getMessage());
            return;
        }
        Member before = members.get(content.node());
        if (before != null && before.content.incarnation().equals(content.incarnation())) {
            before.stored = stored;
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
        if (before != null) {
            gone(before.content);
        }
        if (!content.incarnation().equals(settings.incarnation())) {
            events.joined(content);
        }
    }

    @Override
    public void removed(String name) {
        Member member = members.remove(name);
        if (member != null) {
            loop.log()
                    .event(
                            EventName.MEMBER_LOST,
                            EventKey.NODE,
                            name,
                            EventKey.INCARNATION,
                            member.content.incarnation());
            gone(member.content);
        }
    }

    private void gone(MemberRecord content) {
        if (content.incarnation().equals(settings.incarnation())) {
            if (!leaving) {
                events.resigned();
            }
        } else {
            events.lost(content);
        }
    }

    void heard(String node) {
        Member member = members.get(node);
        if (member != null) {
            member.heardAt = loop.monotonicMilliseconds();
        }
    }

    void linked(String node, boolean linked) {
        Member member = members.get(node);
        if (member != null) {
            member.linked = linked;
            member.heardAt = loop.monotonicMilliseconds();
        }
    }

    /** Tells whether the owner of a stored job still takes part. */
    boolean isAlive(String incarnation) {
        return members.values().stream()
                .anyMatch(member -> member.content.incarnation().equals(incarnation));
    }

    Collection<MemberRecord> of(ProcessRole role) {
        return members.values().stream()
                .map(member -> member.content)
                .filter(member -> member.role() == role)
                .toList();
    }

    /** Tells whether the store answered lately. */
    boolean isConfirmed() {
        return follower.confirmedAt() > loop.monotonicMilliseconds() - CONFIRMATION_MILLISECONDS;
    }

    /** Tells whether this entry knows that nobody has declared it lost. */
    boolean hasAuthority() {
        if (!registered) {
            return false;
        }
        return isConfirmed()
                || members.values().stream()
                        .filter(this::isOtherEntry)
                        .allMatch(member -> member.linked && member.heardAt > loop.monotonicMilliseconds() - CONFIRMATION_MILLISECONDS);
    }

    private boolean isOtherEntry(Member member) {
        return member.content.role() == ProcessRole.ENTRY
                && !member.content.incarnation().equals(settings.incarnation());
    }

    /** Declares processes lost that have been silent for long. */
    void tick() {
        if (!isConfirmed() || !isRegistered() || leaving) {
            return;
        }
        for (Member member : members.values()) {
            long silence =
                    member.content.role() == ProcessRole.ENTRY ? SILENCE_MILLISECONDS : SIDECAR_SILENCE_MILLISECONDS;
            boolean silent = loop.monotonicMilliseconds() - member.heardAt > silence;
            if (silent
                    && !member.content.incarnation().equals(settings.incarnation())
                    && removing.add(member.content.incarnation())) {
                loop.log()
                        .event(
                                EventName.MEMBER_SILENT,
                                EventKey.NODE,
                                member.content.node(),
                                EventKey.SILENCE,
                                loop.monotonicMilliseconds() - member.heardAt);
                ProcessRegistration.remove(store, member.stored, removed -> removing.remove(member.content.incarnation()));
            }
        }
    }
}
