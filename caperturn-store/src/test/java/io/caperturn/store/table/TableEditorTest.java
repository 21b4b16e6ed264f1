package io.caperturn.store.table;

import static io.caperturn.store.FakePlatformStore.Fault.NONE;
import static io.caperturn.store.FakePlatformStore.Fault.REFUSED;
import static io.caperturn.store.FakePlatformStore.Fault.REPLY_LOST_AFTER_COMMIT;
import static io.caperturn.store.FakePlatformStore.Fault.REPLY_LOST_BEFORE_COMMIT;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import io.caperturn.core.model.KindRow;
import io.caperturn.core.model.Limits;
import io.caperturn.core.model.TeamRow;
import io.caperturn.core.model.Urgency;
import io.caperturn.store.FakePlatformStore;
import io.caperturn.store.FakePlatformStore.Fault;
import io.caperturn.store.RowKey;
import io.caperturn.store.StoreRow;
import io.caperturn.store.internal.TableReader;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests of edits of the operators' table of kinds and teams under faults of the store and concurrent operators. */
class TableEditorTest {
    private static final int OPERATORS = 8;

    private final FakePlatformStore store = new FakePlatformStore();
    private final TableEditor editor = new TableEditor(store);

    /** Faults of successive transactions, and the result and table version that a change has under them. */
    static Stream<Arguments> faults() {
        return Stream.of(
                arguments(List.of(NONE), EditResult.Accepted.class, 1),
                arguments(List.of(REPLY_LOST_AFTER_COMMIT), EditResult.Accepted.class, 1),
                arguments(List.of(REPLY_LOST_BEFORE_COMMIT), EditResult.Accepted.class, 1),
                arguments(List.of(REPLY_LOST_AFTER_COMMIT, REFUSED), EditResult.Accepted.class, 1),
                arguments(List.of(REFUSED), EditResult.Unavailable.class, 0),
                arguments(
                        List.of(
                                REPLY_LOST_BEFORE_COMMIT,
                                REPLY_LOST_BEFORE_COMMIT,
                                REPLY_LOST_BEFORE_COMMIT,
                                REPLY_LOST_BEFORE_COMMIT),
                        EditResult.Unknown.class,
                        0));
    }

    @ParameterizedTest
    @MethodSource("faults")
    void resultMatchesTableVersionUnderEachFault(
            List<Fault> faults, Class<? extends EditResult> expected, long version) {
        store.failNext(faults);

        EditResult result =
                editor.apply(change("change-1", putKind("kind", /* expectedVersion= */ 0, /* weight= */ 5)));

        assertInstanceOf(expected, result);
        assertEquals(version, new TableReader(store).readVersion().orElseThrow());
    }

    @Test
    void appliesAllEditsOfAChange() {
        TeamRow team = new TeamRow("team", new Limits(3, Limits.UNLIMITED, 0), /* rowVersion= */ 0);

        editor.apply(change("change-1", putKind("kind", 0, 5), new RowEdit.PutTeam(0, team)));

        assertEquals(
                new TeamRow("team", team.limits(), 1),
                new TableReader(store).read().orElseThrow().teams().get("team"));
        assertEquals(1, store.row(new RowKey("kinds", "kind")).version());
    }

    @Test
    void appliesNothingOnConflictOfOneRow() {
        editor.apply(change("change-1", putKind("taken", 0, 5)));

        EditResult result = editor.apply(change("change-2", putKind("free", 0, 1), putKind("taken", 0, 1)));

        StoreRow currentRow = store.row(new RowKey("kinds", "taken"));
        assertEquals(new EditResult.Conflict(List.of(currentRow)), result);
        assertEquals(0, store.row(new RowKey("kinds", "free")).version());
    }

    @Test
    void acceptsRepeatedChangeWithoutEffect() {
        editor.apply(change("change-1", putKind("kind", 0, 5)));
        editor.apply(change("change-2", putKind("kind", 1, 6)));

        EditResult repeated = editor.apply(change("change-1", putKind("kind", 0, 5)));

        assertEquals(new EditResult.Accepted(/* tableVersion= */ 1, List.of()), repeated);
        assertEquals(2, store.row(new RowKey("kinds", "kind")).version());
    }

    @Test
    void acceptsConcurrentChangesOfDifferentRows() throws Exception {
        List<EditResult> results = runConcurrently(
                operator -> editor.apply(change("change-" + operator, putKind("kind-" + operator, 0, 1))));

        assertEquals(
                OPERATORS,
                results.stream().filter(EditResult.Accepted.class::isInstance).count());
        assertEquals(OPERATORS, new TableReader(store).read().orElseThrow().version());
    }

    @Test
    void acceptsOneOfConcurrentChangesOfSameRow() throws Exception {
        List<EditResult> results =
                runConcurrently(operator -> editor.apply(change("change-" + operator, putKind("kind", 0, 1))));

        assertEquals(
                1,
                results.stream().filter(EditResult.Accepted.class::isInstance).count());
        assertEquals(
                OPERATORS - 1,
                results.stream().filter(EditResult.Conflict.class::isInstance).count());
    }

    static Stream<TableChange> invalidChanges() {
        return Stream.of(
                change("empty"),
                change("twice", putKind("kind", 0, 1), putKind("kind", 0, 2)),
                change("nothing-to-delete", new RowEdit.DeleteKind(0, "kind")));
    }

    @ParameterizedTest
    @MethodSource("invalidChanges")
    void refusesInvalidChange(TableChange change) {
        assertInstanceOf(EditResult.Invalid.class, editor.apply(change));
        assertEquals(List.of(), store.writeTransactions());
    }

    @Test
    void checksWithoutApplying() {
        editor.apply(change("change-1", putKind("kind", 0, 5)));

        assertEquals(new EditResult.Accepted(2, List.of()), editor.check(change("change-2", putKind("kind", 1, 6))));
        assertInstanceOf(EditResult.Conflict.class, editor.check(change("change-3", putKind("kind", 0, 6))));
        assertEquals(1, store.row(new RowKey("kinds", "kind")).version());
    }

    @Test
    void historyListsNewestChangesFirst() {
        for (int number = 1; number <= 5; number++) {
            editor.apply(change("change-" + number, putKind("kind", number - 1, number)));
        }

        ChangeHistoryResult.Changes history = assertInstanceOf(ChangeHistoryResult.Changes.class, editor.history(2));

        assertEquals(
                List.of("change-5", "change-4"),
                history.changes().stream()
                        .map(ChangeHistoryResult.Change::changeId)
                        .toList());
    }

    private interface Operator {
        EditResult edit(int number);
    }

    /** Returns the results of the edits that all operators make at the same time. */
    private static List<EditResult> runConcurrently(Operator operator) throws Exception {
        List<EditResult> results = new ArrayList<>();
        try (ExecutorService threads = Executors.newFixedThreadPool(OPERATORS)) {
            List<Callable<EditResult>> edits = new ArrayList<>();
            for (int number = 0; number < OPERATORS; number++) {
                int ownNumber = number;
                edits.add(() -> operator.edit(ownNumber));
            }
            for (Future<EditResult> result : threads.invokeAll(edits)) {
                results.add(result.get());
            }
        }
        return results;
    }

    private static RowEdit putKind(String kind, long expectedVersion, int weight) {
        return new RowEdit.PutKind(
                expectedVersion,
                new KindRow(kind, weight, Urgency.NORMAL, Limits.NONE, Duration.ofSeconds(10), /* rowVersion= */ 0));
    }

    private static TableChange change(String id, RowEdit... edits) {
        return new TableChange(id, "operator", List.of(edits));
    }
}
