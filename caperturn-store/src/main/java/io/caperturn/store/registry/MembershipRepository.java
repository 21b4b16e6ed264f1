package io.caperturn.store.registry;

import io.caperturn.kernel.EventLine;
import io.caperturn.kernel.HostAndPort;
import io.caperturn.store.PlatformStore;
import io.caperturn.store.RowKey;
import io.caperturn.store.StoreResult;
import io.caperturn.store.StoreRow;
import io.caperturn.store.Transaction;
import io.caperturn.store.Write;
import io.caperturn.store.internal.MemberRow;
import io.caperturn.store.internal.StoreJson;
import io.caperturn.store.internal.StoredProcessId;
import io.caperturn.store.internal.TableReader;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Access to the membership in the store: one row for each registered entry (a process that accepts submissions), and
 * one row with the membership's version.
 *
 * <p>An entry renews its row, its lease, at intervals to show that it runs. The version is raised whenever an entry
 * joins or is removed, but not at a renewal; two readers that see the same version see the same members. Methods block
 * and may be called from any thread.
 */
public final class MembershipRepository {
    private static final System.Logger LOGGER = System.getLogger(MembershipRepository.class.getName());
    private static final int MAXIMUM_ATTEMPTS = 5;

    private final PlatformStore store;
    /** Keys of the rows that were left out of the latest listing. */
    private volatile Set<String> unreadableKeys = Set.of();

    /**
     * Creates a membership repository.
     *
     * @param store the platform's store
     */
    public MembershipRepository(PlatformStore store) {
        this.store = Objects.requireNonNull(store, "store");
    }

    /**
     * Makes an entry a member, replacing any other incarnation (run of the process) of the same name.
     *
     * @param member the entry
     * @return {@link MembershipResult.Done}, or the failure
     */
    public MembershipResult join(Member member) {
        String value = StoreJson.write(toRow(member));
        return changeMember(
                keyOf(member), row -> row.value().equals(Optional.of(value)) ? Action.SKIP : Action.CHANGE, value);
    }

    /**
     * Renews the lease of a member.
     *
     * @param member the entry with its next renewal number
     * @return {@link MembershipResult.Done}, {@link MembershipResult.NotMember} if it was removed, or the failure
     */
    public MembershipResult renew(Member member) {
        StoreResult read = store.transact(new Transaction(List.of(keyOf(member)), List.of()));
        if (!(read instanceof StoreResult.Committed(List<StoreRow> rows))) {
            return new MembershipResult.Failed("the store does not answer");
        }
        Optional<Member> current = parse(rows.getFirst());
        if (current.filter(found -> found.process().equals(member.process())).isEmpty()) {
            return new MembershipResult.NotMember();
        }
        Write write = new Write(keyOf(member), rows.getFirst().version(), Optional.of(StoreJson.write(toRow(member))));
        return switch (store.transact(new Transaction(List.of(), List.of(write)))) {
            case StoreResult.Committed ignored -> new MembershipResult.Done();
            case StoreResult.Conflict ignored -> new MembershipResult.NotMember();
            case StoreResult.Unavailable(String detail) -> new MembershipResult.Failed(detail);
            case StoreResult.RateLimited(String detail) -> new MembershipResult.Failed(detail);
            case StoreResult.Unknown(String detail) -> new MembershipResult.Failed(detail);
        };
    }

    /**
     * Removes a member, unless it has renewed its lease or has been replaced meanwhile.
     *
     * @param lastRead the member as last read
     * @return {@link MembershipResult.Done}, or the failure
     */
    public MembershipResult remove(Member lastRead) {
        return changeMember(
                keyOf(lastRead),
                row -> parse(row).filter(lastRead::equals).isPresent() ? Action.CHANGE : Action.SKIP,
                /* value= */ null);
    }

    /**
     * Lists the members, leaving out unreadable rows.
     *
     * @return {@link MembershipResult.Members}, or the failure
     */
    public MembershipResult list() {
        for (int attempts = 0; attempts < MAXIMUM_ATTEMPTS; attempts++) {
            OptionalLong versionBefore = readVersion();
            Optional<List<StoreRow>> rows = TableReader.scanAllPages(store, MemberRow.TABLE);
            OptionalLong versionAfter = readVersion();
            if (versionBefore.isEmpty() || rows.isEmpty() || versionAfter.isEmpty()) {
                return new MembershipResult.Failed("the store does not answer");
            }
            if (versionBefore.equals(versionAfter)) {
                List<Member> members =
                        rows.get().stream().flatMap(row -> parse(row).stream()).toList();
                logUnreadable(rows.get());
                return new MembershipResult.Members(versionAfter.getAsLong(), members);
            }
        }
        return new MembershipResult.Failed("the membership kept changing");
    }

    /** Logs the keys of the rows that are left out; one that stays is logged once. */
    private void logUnreadable(List<StoreRow> rows) {
        Set<String> keys = rows.stream()
                .filter(row -> parse(row).isEmpty())
                .map(row -> row.key().key())
                .collect(Collectors.toUnmodifiableSet());
        for (String key : keys) {
            if (!unreadableKeys.contains(key)) {
                LOGGER.log(
                        System.Logger.Level.WARNING,
                        EventLine.of("table-row-unreadable")
                                .with("table", MemberRow.TABLE)
                                .with("key", key)
                                .toString());
            }
        }
        unreadableKeys = keys;
    }

    /** Whether a member's row is written or deleted, or left as it is. */
    private enum Action {
        CHANGE,
        SKIP
    }

    /** Chooses the action for a member's row by the row's current state. */
    private interface Decision {
        Action decide(StoreRow row);
    }

    /** Writes a member's row, or deletes it if the value is null, and raises the membership's version with it. */
    private MembershipResult changeMember(RowKey key, Decision decision, String value) {
        String detail = "the membership kept changing";
        for (int attempts = 0; attempts < MAXIMUM_ATTEMPTS; attempts++) {
            StoreResult read = store.transact(new Transaction(List.of(key, MemberRow.VERSION_KEY), List.of()));
            if (!(read instanceof StoreResult.Committed(List<StoreRow> rows))) {
                return new MembershipResult.Failed("the store does not answer");
            }
            // The rows are in the order of the reads: the member's, then the version's.
            if (decision.decide(rows.getFirst()) == Action.SKIP) {
                return new MembershipResult.Done();
            }
            long next = versionOf(rows.getLast()) + 1;
            List<Write> writes = List.of(
                    new Write(key, rows.getFirst().version(), Optional.ofNullable(value)),
                    new Write(
                            MemberRow.VERSION_KEY,
                            rows.getLast().version(),
                            Optional.of(StoreJson.write(new MemberRow.VersionValue(next)))));
            switch (store.transact(new Transaction(List.of(), writes))) {
                case StoreResult.Committed ignored -> {
                    return new MembershipResult.Done();
                }
                case StoreResult.Conflict ignored -> detail = "the membership kept changing";
                case StoreResult.Unavailable(String reason) -> {
                    return new MembershipResult.Failed(reason);
                }
                case StoreResult.RateLimited(String reason) -> {
                    return new MembershipResult.Failed(reason);
                }
                case StoreResult.Unknown(String reason) -> detail = reason;
            }
        }
        return new MembershipResult.Failed(detail);
    }

    private OptionalLong readVersion() {
        StoreResult read = store.transact(new Transaction(List.of(MemberRow.VERSION_KEY), List.of()));
        return read instanceof StoreResult.Committed(List<StoreRow> rows)
                ? OptionalLong.of(versionOf(rows.getFirst()))
                : OptionalLong.empty();
    }

    private static long versionOf(StoreRow row) {
        return row.value()
                .flatMap(text -> StoreJson.read(text, MemberRow.VersionValue.class))
                .map(MemberRow.VersionValue::version)
                .orElse(0L);
    }

    private static RowKey keyOf(Member member) {
        return new RowKey(MemberRow.TABLE, member.process().name());
    }

    private static MemberRow toRow(Member member) {
        return new MemberRow(
                StoredProcessId.of(member.process()),
                member.linkAddress(),
                member.availabilityZone(),
                member.renewalCount());
    }

    private static boolean hasAddress(MemberRow row) {
        try {
            HostAndPort.parse(row.linkAddress());
            return true;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    /** Parses a row; empty if it is not readable, names another entry than its key, or has no usable address. */
    private static Optional<Member> parse(StoreRow row) {
        return row.value()
                .flatMap(text -> StoreJson.read(text, MemberRow.class))
                .filter(value -> value.process().name().equals(row.key().key()) && hasAddress(value))
                .map(value -> new Member(
                        value.process().toProcessId(), value.linkAddress(), value.availabilityZone(), value.renewal()));
    }
}
