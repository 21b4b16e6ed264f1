package io.caperturn.store.table;

import io.caperturn.store.PlatformStore;
import io.caperturn.store.RowKey;
import io.caperturn.store.StoreResult;
import io.caperturn.store.StoreRow;
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
 * Editor of the operators' table, which holds the weights and limits of kinds (named classes of work) and teams.
 *
 * <p>A change is one transaction: it writes the edited rows, each conditional on its version, raises the version of the
 * whole table and adds a row to the history. A change that fails only because another one has raised the table's
 * version is retried; if two changes edit the same row, one of them results in a conflict. After a lost reply, the
 * change's identifier is looked up in the history. Methods block and may be called from any thread.
 */
public final class TableEditor {
    /** Maximum number of edits in one change. */
    public static final int MAXIMUM_EDITS = 2_000;

    /** Number of the newest changes that are searched for an earlier commit of the same change. */
    public static final int MAXIMUM_SEARCHED_CHANGES = 500;

    private static final int MAXIMUM_ATTEMPTS = 50;
    private static final int MAXIMUM_LOST_REPLIES = 4;

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
     * Applies a change atomically.
     *
     * @param change the change; if its identifier is in the history already, it is accepted without effect
     * @return the result
     */
    public EditResult apply(TableChange change) {
        Optional<String> violation = findViolation(change);
        if (violation.isPresent()) {
            return new EditResult.Invalid(violation.get());
        }
        List<String> lostReplies = new ArrayList<>();
        for (int attempts = 0; attempts < MAXIMUM_ATTEMPTS && lostReplies.size() < MAXIMUM_LOST_REPLIES; attempts++) {
            switch (attemptOnce(change)) {
                // The attempt whose reply was lost may have taken effect, although this later one was refused.
                case AttemptResult.Done(EditResult.Unavailable(String detail))
                when !lostReplies.isEmpty() -> lostReplies.add(detail);
                case AttemptResult.Done(EditResult result) -> {
                    return result;
                }
                case AttemptResult.VersionChanged ignored -> {
                    // Another change raised the table's version first, so this one is tried again.
                }
                case AttemptResult.ReplyLost(String detail) -> lostReplies.add(detail);
            }
        }
        return lostReplies.isEmpty()
                ? new EditResult.Unavailable("other changes kept raising the version first")
                : new EditResult.Unknown(lostReplies.getLast());
    }

    /**
     * Checks a change against the current rows without applying it.
     *
     * @param change the change
     * @return {@link EditResult.Accepted} with the version that the change would produce, or the reason against it
     */
    public EditResult check(TableChange change) {
        Optional<String> violation = findViolation(change);
        if (violation.isPresent()) {
            return new EditResult.Invalid(violation.get());
        }
        List<RowKey> keys = new ArrayList<>(List.of(TableRowValue.VERSION_KEY));
        change.edits().forEach(edit -> keys.add(edit.key()));
        if (!(store.transact(new Transaction(keys, List.of())) instanceof StoreResult.Committed(List<StoreRow> rows))) {
            return new EditResult.Unavailable("the store does not answer");
        }
        List<StoreRow> conflicts = findConflicts(change, rows);
        return conflicts.isEmpty()
                ? new EditResult.Accepted(versionOf(rows.getFirst()) + 1, List.of())
                : new EditResult.Conflict(conflicts);
    }

    /**
     * Reads the table from the store.
     *
     * @return the table at one version, or {@link TableReadResult.Unavailable}
     */
    public TableReadResult read() {
        return new TableReader(store)
                .read()
                .<TableReadResult>map(TableReadResult.Read::new)
                .orElseGet(() -> new TableReadResult.Unavailable("the store does not answer"));
    }

    /**
     * Reads the newest changes.
     *
     * @param limit the maximum number of changes to return, at least 1
     * @return the changes, or {@link ChangeHistoryResult.Unavailable}
     */
    public ChangeHistoryResult history(int limit) {
        Optional<StoreRow> versionRow = readVersion();
        if (versionRow.isEmpty()) {
            return new ChangeHistoryResult.Unavailable("the store does not answer");
        }
        return scanChanges(versionOf(versionRow.get()) - limit, limit)
                .<ChangeHistoryResult>map(rows -> new ChangeHistoryResult.Changes(rows.stream()
                        .map(TableEditor::toChange)
                        .sorted(Comparator.comparingLong(ChangeHistoryResult.Change::tableVersion)
                                .reversed())
                        .toList()))
                .orElseGet(() -> new ChangeHistoryResult.Unavailable("the store does not answer"));
    }

    private AttemptResult attemptOnce(TableChange change) {
        Optional<StoreRow> versionRow = readVersion();
        if (versionRow.isEmpty()) {
            return new AttemptResult.Done(new EditResult.Unavailable("the store does not answer"));
        }
        long nextVersion = versionOf(versionRow.get()) + 1;
        List<RowKey> editedKeys = change.edits().stream().map(RowEdit::key).toList();
        return switch (store.transact(new Transaction(editedKeys, toWrites(change, versionRow.get(), nextVersion)))) {
            case StoreResult.Committed(List<StoreRow> rows) ->
                new AttemptResult.Done(new EditResult.Accepted(nextVersion, rows));
            case StoreResult.Conflict(List<StoreRow> rows) -> {
                List<StoreRow> conflicts = findConflicts(change, rows);
                yield conflicts.isEmpty() ? new AttemptResult.VersionChanged() : resolveConflict(change, conflicts);
            }
            case StoreResult.Unavailable(String detail) -> new AttemptResult.Done(new EditResult.Unavailable(detail));
            case StoreResult.RateLimited(String detail) -> new AttemptResult.Done(new EditResult.Unavailable(detail));
            case StoreResult.Unknown(String detail) -> new AttemptResult.ReplyLost(detail);
        };
    }

    /**
     * Determines by the history whether another change caused the conflict, or an earlier write of this change whose
     * reply was lost; the latter stays possible if the history can't be read.
     */
    private AttemptResult resolveConflict(TableChange change, List<StoreRow> conflicts) {
        Optional<StoreRow> versionRow = readVersion();
        Optional<List<ChangeRow>> changes = versionRow.flatMap(
                row -> scanChanges(versionOf(row) - MAXIMUM_SEARCHED_CHANGES, MAXIMUM_SEARCHED_CHANGES));
        if (changes.isEmpty()) {
            return new AttemptResult.ReplyLost("the store does not answer");
        }
        return changes.get().stream()
                .filter(row -> row.changeId().equals(change.changeId()))
                .findFirst()
                .<AttemptResult>map(row -> new AttemptResult.Done(new EditResult.Accepted(row.version(), List.of())))
                .orElseGet(() -> new AttemptResult.Done(new EditResult.Conflict(conflicts)));
    }

    private List<Write> toWrites(TableChange change, StoreRow versionRow, long nextVersion) {
        List<Write> writes = new ArrayList<>();
        List<ChangeRow.EditValue> history = new ArrayList<>();
        for (RowEdit edit : change.edits()) {
            Write write = edit.toWrite(change.changeId());
            writes.add(write);
            history.add(new ChangeRow.EditValue(
                    write.key().table(), write.key().key(), write.value().orElse(null)));
        }
        String versionJson = StoreJson.write(new TableRowValue.VersionValue(nextVersion, change.changeId()));
        writes.add(new Write(TableRowValue.VERSION_KEY, versionRow.version(), Optional.of(versionJson)));
        ChangeRow row = new ChangeRow(nextVersion, change.changeId(), change.author(), clock.millis(), history);
        writes.add(
                new Write(ChangeRow.keyOf(nextVersion), /* expectedVersion= */ 0, Optional.of(StoreJson.write(row))));
        return writes;
    }

    private Optional<StoreRow> readVersion() {
        return store.transact(new Transaction(List.of(TableRowValue.VERSION_KEY), List.of()))
                        instanceof StoreResult.Committed(List<StoreRow> rows)
                ? Optional.of(rows.getFirst())
                : Optional.empty();
    }

    private Optional<List<ChangeRow>> scanChanges(long afterVersion, int limit) {
        String after = afterVersion <= 0 ? "" : ChangeRow.keyOf(afterVersion).key();
        return store.scan(ChangeRow.TABLE, after, limit) instanceof StoreResult.Committed(List<StoreRow> rows)
                ? Optional.of(rows.stream()
                        .flatMap(row -> row.value().stream())
                        .flatMap(text -> StoreJson.read(text, ChangeRow.class).stream())
                        .toList())
                : Optional.empty();
    }

    private static long versionOf(StoreRow row) {
        return row.value()
                .flatMap(text -> StoreJson.read(text, TableRowValue.VersionValue.class))
                .map(TableRowValue.VersionValue::version)
                .orElse(0L);
    }

    private static List<StoreRow> findConflicts(TableChange change, List<StoreRow> rows) {
        Map<RowKey, StoreRow> currentRows = new HashMap<>();
        rows.forEach(row -> currentRows.put(row.key(), row));
        return change.edits().stream()
                .filter(edit -> currentRows.containsKey(edit.key())
                        && currentRows.get(edit.key()).version() != edit.expectedVersion())
                .map(edit -> currentRows.get(edit.key()))
                .toList();
    }

    private static Optional<String> findViolation(TableChange change) {
        if (change.edits().isEmpty() || change.edits().size() > MAXIMUM_EDITS) {
            return Optional.of("a change has 1 to " + MAXIMUM_EDITS + " edits");
        }
        if (change.edits().stream().anyMatch(TableEditor::isDeleteWithoutVersion)) {
            return Optional.of("a row to delete needs the version that it has");
        }
        Set<RowKey> keys = new HashSet<>();
        return change.edits().stream()
                .filter(edit -> !keys.add(edit.key()))
                .findFirst()
                .map(edit -> edit.key().table() + " row " + edit.key().key() + " is edited twice");
    }

    private static boolean isDeleteWithoutVersion(RowEdit edit) {
        boolean deletes = edit instanceof RowEdit.DeleteKind || edit instanceof RowEdit.DeleteTeam;
        return deletes && edit.expectedVersion() < 1;
    }

    private static ChangeHistoryResult.Change toChange(ChangeRow row) {
        List<RowKey> rows = row.edits().stream()
                .map(edit -> new RowKey(edit.table(), edit.key()))
                .toList();
        return new ChangeHistoryResult.Change(
                row.version(), row.changeId(), row.author(), Instant.ofEpochMilli(row.atMilliseconds()), rows);
    }

    /** Outcome of one attempt to apply a change. */
    private sealed interface AttemptResult {
        /** The result of the change is known. */
        record Done(EditResult result) implements AttemptResult {}

        /** Only the table's version had changed. */
        record VersionChanged() implements AttemptResult {}

        /** The reply was lost, so whether the change took effect is unknown. */
        record ReplyLost(String detail) implements AttemptResult {}
    }
}
