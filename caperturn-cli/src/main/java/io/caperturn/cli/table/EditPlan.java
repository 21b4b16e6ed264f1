package io.caperturn.cli.table;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/** Plan of the edits that change the operators' table of weights and limits to the rows wanted by an operator. */
public sealed interface EditPlan {
    /**
     * The wanted rows are valid; each row that changes has one edit.
     *
     * @param edits the edits in the order of the rows, empty if nothing changes
     */
    record Edits(List<TableEdit> edits) implements EditPlan {
        /** Copies the edits. */
        public Edits {
            edits = List.copyOf(edits);
        }
    }

    /**
     * The wanted rows have mistakes.
     *
     * @param mistakes every mistake, at least one
     */
    record Invalid(List<TableMistake> mistakes) implements EditPlan {
        /** Copies the mistakes. */
        public Invalid {
            mistakes = List.copyOf(mistakes);
        }
    }

    /**
     * Plans the edits.
     *
     * @param tableInForce the table as it is now
     * @param wantedRows the wanted rows
     * @param create whether rows that are not in the table may be created
     * @param prune whether rows of the table that are not wanted are deleted
     * @return the edits, or every mistake
     */
    static EditPlan of(LimitTable tableInForce, List<UncheckedRow> wantedRows, boolean create, boolean prune) {
        List<TableMistake> mistakes = new ArrayList<>();
        Map<RowIdentity, TableEdit> edits = new HashMap<>();
        Set<RowIdentity> wantedIdentities = new HashSet<>();
        for (UncheckedRow uncheckedRow : wantedRows) {
            if (!wantedIdentities.add(uncheckedRow.identity())) {
                mistakes.add(new TableMistake(uncheckedRow.place(), "name", "the row is given twice"));
                continue;
            }
            switch (RowValidator.validate(uncheckedRow)) {
                case RowValidator.Result.Invalid(List<TableMistake> found) -> mistakes.addAll(found);
                case RowValidator.Result.Valid(LimitTableRow row) ->
                    planRow(tableInForce, uncheckedRow, row, create, mistakes)
                            .ifPresent(edit -> edits.put(row.identity(), edit));
            }
        }
        if (prune) {
            // A deletion needs no confirmation of a zero limit.
            tableInForce.rows().values().stream()
                    .filter(row -> !wantedIdentities.contains(row.identity()))
                    .forEach(row -> edits.put(
                            row.identity(),
                            new TableEdit(
                                    Optional.of(row), Optional.empty(), row.version(), /* explicitZero= */ false)));
        }
        return mistakes.isEmpty()
                ? new Edits(
                        new TreeSet<>(edits.keySet()).stream().map(edits::get).toList())
                : new Invalid(mistakes);
    }

    private static Optional<TableEdit> planRow(
            LimitTable tableInForce,
            UncheckedRow uncheckedRow,
            LimitTableRow row,
            boolean create,
            List<TableMistake> mistakes) {
        Optional<LimitTableRow> before = tableInForce.find(row.identity());
        long currentVersion = before.map(LimitTableRow::version).orElse(/* no such row */ 0L);
        long expectedVersion = uncheckedRow.expectedVersion().orElse(currentVersion);
        if (before.isPresent() && before.get().hasSameValues(row)) {
            return Optional.empty();
        }
        if (expectedVersion != currentVersion) {
            String storedRow = before.map(
                            found -> "version " + currentVersion + " with" + TableEdit.formatValues(found))
                    .orElse("no such row");
            mistakes.add(new TableMistake(
                    uncheckedRow.place(), "rowVersion", expectedVersion + " is stale; in force is " + storedRow));
            return Optional.empty();
        }
        if (before.isEmpty() && !create) {
            String type = row.identity().type().label();
            mistakes.add(
                    new TableMistake(uncheckedRow.place(), "name", "unknown " + type + "; use --create if it is new"));
            return Optional.empty();
        }
        return Optional.of(new TableEdit(before, Optional.of(row), expectedVersion, uncheckedRow.explicitZero()));
    }
}
