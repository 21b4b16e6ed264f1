package io.caperturn.cli.table;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests how rows of a file change the operators' table, which holds the kind of task assay and the team lab. */
class EditPlanTest {
    private static final String HEADER =
            "row,name,weight,urgency,running,queued,startsPerSecond,taskTimeoutMilliseconds,explicitZero,rowVersion\n";
    private static final String ASSAY_ROW = "kind,assay,3,urgent,8,,,2000,,4\n";
    private static final String LAB_ROW = "team,lab,,,,100,,,,2\n";
    private static final LimitTable TABLE_IN_FORCE = LimitTable.of(/* version= */ 7, rows(ASSAY_ROW + LAB_ROW));

    private static List<UncheckedRow> uncheckedRows(String lines) {
        return assertInstanceOf(TableFile.Result.Parsed.class, TableFile.read(HEADER + lines))
                .rows();
    }

    private static List<LimitTableRow> rows(String lines) {
        return uncheckedRows(lines).stream()
                .map(RowValidator::validate)
                .map(result -> ((RowValidator.Result.Valid) result).row())
                .toList();
    }

    private static List<String> differences(EditPlan plan) {
        return assertInstanceOf(EditPlan.Edits.class, plan).edits().stream()
                .map(TableEdit::formatDifference)
                .toList();
    }

    @Test
    void exportedTableImportsWithoutAnyEdit() {
        List<UncheckedRow> rows = assertInstanceOf(
                        TableFile.Result.Parsed.class, TableFile.read(TableFile.writeCsv(TABLE_IN_FORCE)))
                .rows();
        assertEquals(List.of(), differences(EditPlan.of(TABLE_IN_FORCE, rows, /* create= */ false, /* prune= */ true)));
    }

    @Test
    void exportedJsonImportsWithoutAnyEdit() {
        List<UncheckedRow> rows = assertInstanceOf(
                        TableFile.Result.Parsed.class, TableFile.read(TableFile.writeJson(TABLE_IN_FORCE)))
                .rows();
        assertEquals(List.of(), differences(EditPlan.of(TABLE_IN_FORCE, rows, /* create= */ false, /* prune= */ true)));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "kind,assay,5,urgent,,,,2000,,4 | ~ kinds/assay weight 3 -> 5 running 8 -> unlimited",
                "kind,assay,3,urgent,8,,,2000,, | ",
                "kind,cube,1,normal,,,50,900,, | + kinds/cube weight=1 urgency=normal startsPerSecond=50 "
                        + "taskTimeoutMilliseconds=900",
                "team,lab,,,0,100,,,true,2 | ~ teams/lab running unlimited -> 0"
            })
    void differenceListsChangedValues(String line, String difference) {
        List<String> expected = difference == null ? List.of() : List.of(difference);
        assertEquals(
                expected,
                differences(EditPlan.of(TABLE_IN_FORCE, uncheckedRows(line), /* create= */ true, /* prune= */ false)));
    }

    @Test
    void pruningDeletesRowsMissingFromFile() {
        assertEquals(
                List.of("- teams/lab queued=100"),
                differences(
                        EditPlan.of(TABLE_IN_FORCE, uncheckedRows(ASSAY_ROW), /* create= */ false, /* prune= */ true)));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "kind,assay,-1,urgent,8,,,2000,,4 | line 2, kinds/assay, column weight: -1; allowed: a whole number",
                "kind,assay,,urgent,8,,,2000,,4 | column weight: empty",
                "kind,assay,3,soon,8,,,2000,,4 | column urgency: soon; allowed: urgent, normal or background",
                "kind,assay,3,urgent,0,,,2000,,4 | column running: 0; allowed: a limit of 0 stops",
                "kind,assay,3,urgent,many,,,2000,,4 | column running: many",
                "kind,assay,3,urgent,8,,,0,,4 | column taskTimeoutMilliseconds: 0",
                "kind,assay,4,urgent,8,,,2000,,3 | column rowVersion: 3 is stale; in force is version 4",
                "kind,asay,3,urgent,8,,,2000,, | column name: unknown kind; use --create",
                "team,lab,2,,,100,,,,2 | column weight: 2; allowed: a team has no such value",
                "team,,,,,1,,,, | column name: a name is required"
            })
    void mistakeNamesRowAndColumn(String line, String expected) {
        EditPlan plan = EditPlan.of(TABLE_IN_FORCE, uncheckedRows(line), /* create= */ false, /* prune= */ false);
        String mistake = assertInstanceOf(EditPlan.Invalid.class, plan)
                .mistakes()
                .getFirst()
                .toString();
        assertTrue(mistake.contains(expected), mistake);
    }

    @Test
    void everyMistakeOfEveryRowIsReportedAtOnce() {
        EditPlan plan = EditPlan.of(
                TABLE_IN_FORCE,
                uncheckedRows("kind,assay,-1,soon,,,,2000,,4\n" + LAB_ROW + LAB_ROW),
                /* create= */ false,
                /* prune= */ false);
        assertEquals(
                3, assertInstanceOf(EditPlan.Invalid.class, plan).mistakes().size());
    }
}
