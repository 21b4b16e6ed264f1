package io.caperturn.cli.table;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/** Plan of the edits that change the table in force to the wanted rows. */
public sealed interface EditPlan {
    /**
     * The wanted rows are valid; each row that changes has one edit.
     *
     * @param edits the edits in the order of row names, empty if nothing changes
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
     * @param inForce the table in force
     * @param wanted the wanted rows
     * @param create whether rows that are not in the table may be created
     * @param prune whether rows of the table that are not wanted are deleted
     * @return the edits, or every mistake
     */
    static EditPlan of(LimitTable inForce, List<UncheckedRow> wanted, boolean create, boolean prune) {
        List<TableMistake> mistakes = new ArrayList<>();
        Map<RowName, TableEdit> edits = new HashMap<>();
        Set<RowName> wantedNames = new HashSet<>();
        for (UncheckedRow unchecked : wanted) {
            if (!wantedNames.add(unchecked.name())) {
                mistakes.add(new TableMistake(unchecked.place(), "name", "the row is given twice"));
                continue;
            }
            switch (RowValidator.validate(unchecked)) {
                case RowValidator.Result.Invalid(List<TableMistake> found) -> mistakes.addAll(found);
                case RowValidator.Result.Valid(LimitTableRow row) ->
                    planRow(inForce, unchecked, row, create, mistakes).ifPresent(edit -> edits.put(row.name(), edit));
            }
        }
        if (prune) {
            inForce.rows().values().stream()
                    .filter(row -> !wantedNames.contains(row.name()))
                    .forEach(row -> edits.put(
                            row.name(), new TableEdit(Optional.of(row), Optional.empty(), row.version(), false)));
        }
        return mistakes.isEmpty()
                ? new Edits(
                        new TreeSet<>(edits.keySet()).stream().map(edits::get).toList())
                : new Invalid(mistakes);
    }

    private static Optional<TableEdit> planRow(
            LimitTable inForce,
            UncheckedRow unchecked,
            LimitTableRow row,
            boolean create,
            List<TableMistake> mistakes) {
        Optional<LimitTableRow> before = inForce.find(row.name());
        long current = before.map(LimitTableRow::version).orElse(0L);
        long expected = unchecked.expectedVersion().orElse(current);
        if (before.isPresent() && before.get().hasSameValues(row)) {
            return Optional.empty();
        }
        if (expected != current) {
            String stored = before.map(found -> "version " + current + " with" + TableEdit.formatValues(found))
                    .orElse("no such row");
            mistakes.add(
                    new TableMistake(unchecked.place(), "rowVersion", expected + " is stale; in force is " + stored));
            return Optional.empty();
        }
        if (before.isEmpty() && !create) {
            String type = row.name().type().label();
            mistakes.add(
                    new TableMistake(unchecked.place(), "name", "unknown " + type + "; use --create if it is new"));
            return Optional.empty();
        }
        return Optional.of(new TableEdit(before, Optional.of(row), expected, unchecked.explicitZero()));
    }
}
