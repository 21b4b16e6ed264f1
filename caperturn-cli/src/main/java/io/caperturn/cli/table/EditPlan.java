package io.caperturn.cli.table;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/** Plan of the edits that turn the table in force into the wanted rows. */
public sealed interface EditPlan {
    /**
     * The edits, each row that changes once.
     *
     * @param edits the edits in the order of names; empty if nothing changes
     */
    record Edits(List<TableEdit> edits) implements EditPlan {
        /** Copies the edits. */
        public Edits {
            edits = List.copyOf(edits);
        }
    }

    /**
     * The wanted rows can't be.
     *
     * @param mistakes every mistake, at least one
     */
    record Wrong(List<TableMistake> mistakes) implements EditPlan {
        /** Copies the mistakes. */
        public Wrong {
            mistakes = List.copyOf(mistakes);
        }
    }

    /**
     * Plans the edits.
     *
     * @param inForce the table in force
     * @param wanted the wanted rows
     * @param create whether rows that are not in force may be created
     * @param prune whether rows in force that are not wanted are deleted
     * @return the edits, or every mistake
     */
    static EditPlan of(TableRows inForce, List<RowCells> wanted, boolean create, boolean prune) {
        List<TableMistake> mistakes = new ArrayList<>();
        Map<RowName, TableEdit> edits = new HashMap<>();
        Set<RowName> named = new HashSet<>();
        for (RowCells cells : wanted) {
            if (!named.add(cells.name())) {
                mistakes.add(new TableMistake(cells.place(), "name", "the row is given twice"));
                continue;
            }
            switch (RowCheck.check(cells)) {
                case RowCheck.Result.Invalid(List<TableMistake> found) -> mistakes.addAll(found);
                case RowCheck.Result.Valid(TableRow row) ->
                    plan(inForce, cells, row, create, mistakes).ifPresent(edit -> edits.put(row.name(), edit));
            }
        }
        if (prune) {
            inForce.rows().values().stream()
                    .filter(row -> !named.contains(row.name()))
                    .forEach(row -> edits.put(
                            row.name(), new TableEdit(Optional.of(row), Optional.empty(), row.version(), false)));
        }
        return mistakes.isEmpty()
                ? new Edits(
                        new TreeSet<>(edits.keySet()).stream().map(edits::get).toList())
                : new Wrong(mistakes);
    }

    private static Optional<TableEdit> plan(
            TableRows inForce, RowCells cells, TableRow row, boolean create, List<TableMistake> mistakes) {
        Optional<TableRow> before = inForce.find(row.name());
        long current = before.map(TableRow::version).orElse(0L);
        long expected = cells.expectedVersion().orElse(current);
        if (before.isPresent() && before.get().sameValues(row)) {
            return Optional.empty();
        }
        if (expected != current) {
            String shown = before.map(found -> "version " + current + " with" + TableEdit.values(found))
                    .orElse("no such row");
            mistakes.add(new TableMistake(cells.place(), "rowVersion", expected + " is stale; in force is " + shown));
            return Optional.empty();
        }
        if (before.isEmpty() && !create) {
            String type = row.name().type().label();
            mistakes.add(new TableMistake(cells.place(), "name", "unknown " + type + "; say --create if it is new"));
            return Optional.empty();
        }
        return Optional.of(new TableEdit(before, Optional.of(row), expected, cells.explicitZero()));
    }
}
