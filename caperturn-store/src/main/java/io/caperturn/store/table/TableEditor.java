package io.caperturn.store.table;

import io.caperturn.store.PlatformStore;
import io.caperturn.store.Row;
import io.caperturn.store.RowKey;
import io.caperturn.store.StoreResult;
import io.caperturn.store.Transaction;
import io.caperturn.store.Write;
import io.caperturn.store.internal.ChangeRow;
import io.caperturn.store.internal.StoreJson;
import io.caperturn.store.internal.TableReader;
import io.caperturn.store.internal.TableRowValue;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Editor of the table of weights and limits.
 *
 * <p>A change is one transaction: its rows, each under the condition of its version, the version of the whole table and
 * a row of history. Changes to different rows that race for the table's version are tried again; on the same row one of
 * them gets the conflict. A lost reply is settled by looking for the change's identity in the history. Calls block and
 * may come from any thread.
 */
public final class TableEditor {
    /** Most edits of one change. */
    public static final int MAXIMUM_EDITS = 2_000;

    /** Number of newest changes among which a repeat of the same change is found. */
    public static final int REPEAT_WINDOW_CHANGES = 500;

    private static final int MAXIMUM_TRIES = 50;
    private static final int MAXIMUM_LOSSES = 4;

    private final PlatformStore store;
    private final InstantSource clock = InstantSource.system();

    /**
     * Creates an editor.
     *
     * @param store the store
     */
    public TableEditor(PlatformStore store) {
        this.store = Objects.requireNonNull(store, "store");
    }

    /**
     * Applies a change, all of it or nothing.
     *
     * @param change the change; one with an identity that is in the history already is accepted without effect
     * @return the result
     */
    public EditResult apply(TableChange change) {
        Optional<String> fault = faultOf(change);
        if (fault.isPresent()) {
            return new EditResult.Invalid(fault.get());
        }
        List<String> losses = new ArrayList<>();
        for (int tries = 0; tries < MAXIMUM_TRIES && losses.size() < MAXIMUM_LOSSES; tries++) {
            switch (tryOnce(change)) {
                case Step.Done(EditResult.Unavailable(String detail)) when !losses.isEmpty() -> losses.add(detail);
                case Step.Done(EditResult result) -> {
                    return result;
                }
                case Step.Moved ignored -> {
                    // Another change raised the table's version first.
                }
                case Step.Lost(String detail) -> losses.add(detail);
            }
        }
        return losses.isEmpty()
                ? new EditResult.Unavailable("other changes kept coming first")
                : new EditResult.Unknown(losses.getLast());
    }

    /**
     * Checks a change against the rows in force without applying it.
     *
     * @param change the change
     * @return the version of the whole table that it would have made, or why it would not be accepted
     */
    public EditResult check(TableChange change) {
        Optional<String> fault = faultOf(change);
        if (fault.isPresent()) {
            return new EditResult.Invalid(fault.get());
        }
        List<RowKey> keys = new ArrayList<>(List.of(TableRowValue.VERSION_KEY));
        change.edits().forEach(edit -> keys.add(edit.key()));
        if (!(store.transact(new Transaction(keys, List.of())) instanceof StoreResult.Committed(List<Row> rows))) {
            return new EditResult.Unavailable("the store does not answer");
        }
        List<Row> conflicts = conflicts(change, rows);
        return conflicts.isEmpty()
                ? new EditResult.Accepted(versionOf(rows.getFirst()) + 1, List.of())
                : new EditResult.Conflict(conflicts);
    }

    /**
     * Reads the table as it is in the store.
     *
     * @return the table at one version, or that the store does not answer
     */
    public TableReading read() {
        return new TableReader(store)
                .read()
                .<TableReading>map(TableReading.Read::new)
                .orElseGet(() -> new TableReading.Unavailable("the store does not answer"));
    }

    /**
     * Reads the newest changes.
     *
     * @param limit most changes returned, at least 1
     * @return the changes, or that the store does not answer
     */
    public ChangeHistory history(int limit) {
        Optional<Row> current = readVersion();
        if (current.isEmpty()) {
            return new ChangeHistory.Unavailable("the store does not answer");
        }
        return scanChanges(versionOf(current.get()) - limit, limit)
                .<ChangeHistory>map(rows -> new ChangeHistory.Changes(rows.stream()
                        .map(TableEditor::toChange)
                        .sorted(Comparator.comparingLong(ChangeHistory.Change::tableVersion)
                                .reversed())
                        .toList()))
                .orElseGet(() -> new ChangeHistory.Unavailable("the store does not answer"));
    }

    private Step tryOnce(TableChange change) {
        Optional<Row> current = readVersion();
        if (current.isEmpty()) {
            return new Step.Done(new EditResult.Unavailable("the store does not answer"));
        }
        long next = versionOf(current.get()) + 1;
        List<RowKey> edited = change.edits().stream().map(RowEdit::key).toList();
        return switch (store.transact(new Transaction(edited, writes(change, current.get(), next)))) {
            case StoreResult.Committed(List<Row> rows) -> new Step.Done(new EditResult.Accepted(next, rows));
            case StoreResult.Conflict(List<Row> rows) -> {
                List<Row> conflicts = conflicts(change, rows);
                yield conflicts.isEmpty() ? new Step.Moved() : settle(change, conflicts);
            }
            case StoreResult.Unavailable(String detail) -> new Step.Done(new EditResult.Unavailable(detail));
            case StoreResult.RateLimited(String detail) -> new Step.Done(new EditResult.Unavailable(detail));
            case StoreResult.Unknown(String detail) -> new Step.Lost(detail);
        };
    }

    /** Tells a true conflict from the trace of this same change, whose reply was lost. */
    private Step settle(TableChange change, List<Row> conflicts) {
        Optional<Row> current = readVersion();
        Optional<List<ChangeRow>> changes =
                current.flatMap(row -> scanChanges(versionOf(row) - REPEAT_WINDOW_CHANGES, REPEAT_WINDOW_CHANGES));
        if (changes.isEmpty()) {
            return new Step.Lost("the store does not answer");
        }
        return changes.get().stream()
                .filter(row -> row.changeId().equals(change.changeId()))
                .findFirst()
                .<Step>map(row -> new Step.Done(new EditResult.Accepted(row.version(), List.of())))
                .orElseGet(() -> new Step.Done(new EditResult.Conflict(conflicts)));
    }

    private List<Write> writes(TableChange change, Row current, long next) {
        List<Write> writes = new ArrayList<>();
        List<ChangeRow.EditValue> history = new ArrayList<>();
        for (RowEdit edit : change.edits()) {
            Write write = edit.write(change.changeId());
            writes.add(write);
            history.add(new ChangeRow.EditValue(
                    write.key().table(), write.key().key(), write.value().orElse(null)));
        }
        String version = StoreJson.write(new TableRowValue.VersionValue(next, change.changeId()));
        writes.add(new Write(TableRowValue.VERSION_KEY, current.version(), Optional.of(version)));
        ChangeRow row = new ChangeRow(next, change.changeId(), change.author(), clock.millis(), history);
        writes.add(new Write(ChangeRow.keyOf(next), 0, Optional.of(StoreJson.write(row))));
        return writes;
    }

    private Optional<Row> readVersion() {
        return store.transact(new Transaction(List.of(TableRowValue.VERSION_KEY), List.of()))
                        instanceof StoreResult.Committed(List<Row> rows)
                ? Optional.of(rows.getFirst())
                : Optional.empty();
    }

    private Optional<List<ChangeRow>> scanChanges(long afterVersion, int limit) {
        String after = afterVersion <= 0 ? "" : ChangeRow.keyOf(afterVersion).key();
        return store.scan(ChangeRow.TABLE, after, limit) instanceof StoreResult.Committed(List<Row> rows)
                ? Optional.of(rows.stream()
                        .flatMap(row -> row.value().stream())
                        .flatMap(text -> StoreJson.read(text, ChangeRow.class).stream())
                        .toList())
                : Optional.empty();
    }

    private static long versionOf(Row row) {
        return row.value()
                .flatMap(text -> StoreJson.read(text, TableRowValue.VersionValue.class))
                .map(TableRowValue.VersionValue::version)
                .orElse(0L);
    }

    private static List<Row> conflicts(TableChange change, List<Row> rows) {
        Map<RowKey, Row> inForce = new HashMap<>();
        rows.forEach(row -> inForce.put(row.key(), row));
        return change.edits().stream()
                .filter(edit -> inForce.containsKey(edit.key())
                        && inForce.get(edit.key()).version() != edit.expectedVersion())
                .map(edit -> inForce.get(edit.key()))
                .toList();
    }

    private static Optional<String> faultOf(TableChange change) {
        if (change.edits().isEmpty() || change.edits().size() > MAXIMUM_EDITS) {
            return Optional.of("a change has 1 to " + MAXIMUM_EDITS + " edits");
        }
        if (change.edits().stream().anyMatch(TableEditor::deletesNothing)) {
            return Optional.of("a row to delete needs the version that it has");
        }
        Set<RowKey> keys = new HashSet<>();
        return change.edits().stream()
                .filter(edit -> !keys.add(edit.key()))
                .findFirst()
                .map(edit -> edit.key().table() + " row " + edit.key().key() + " is edited twice");
    }

    private static boolean deletesNothing(RowEdit edit) {
        boolean deletes = edit instanceof RowEdit.DeleteKind || edit instanceof RowEdit.DeleteTeam;
        return deletes && edit.expectedVersion() < 1;
    }

    private static ChangeHistory.Change toChange(ChangeRow row) {
        List<RowKey> rows = row.edits().stream()
                .map(edit -> new RowKey(edit.table(), edit.key()))
                .toList();
        return new ChangeHistory.Change(
                row.version(), row.changeId(), row.author(), Instant.ofEpochMilli(row.atMilliseconds()), rows);
    }

    /** Outcome of one try. */
    private sealed interface Step {
        /** The change is settled. */
        record Done(EditResult result) implements Step {}

        /** Only the table's version had moved. */
        record Moved() implements Step {}

        /** The reply was lost. */
        record Lost(String detail) implements Step {}
    }
}
