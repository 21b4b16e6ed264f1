package io.caperturn.store.internal;

import io.caperturn.core.model.KindRow;
import io.caperturn.core.model.Table;
import io.caperturn.core.model.TeamRow;
import io.caperturn.kernel.EventLine;
import io.caperturn.store.PlatformStore;
import io.caperturn.store.StoreResult;
import io.caperturn.store.StoreRow;
import io.caperturn.store.Transaction;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BiFunction;

/**
 * Reader of the operators' table of kinds (named classes of work) and teams, with their weights and limits.
 *
 * <p>The store holds it as two store tables, one of kinds and one of teams, and a row with the version of both
 * together. Transactions and scans that succeed both return {@link StoreResult.Committed} with the rows read.
 */
public final class TableReader {
    private static final System.Logger LOGGER = System.getLogger(TableReader.class.getName());
    private static final int PAGE_ROWS = 500;
    private static final int MAXIMUM_ATTEMPTS = 5;

    private final PlatformStore store;

    /**
     * Creates a reader.
     *
     * @param store the store
     */
    public TableReader(PlatformStore store) {
        this.store = store;
    }

    /**
     * Reads the version of the whole table.
     *
     * @return the version, 0 before the first edit; empty if the store does not answer or the version is unreadable
     */
    public OptionalLong readVersion() {
        // This transaction reads the row of the version and writes nothing.
        StoreResult result = store.transact(new Transaction(List.of(TableRowValue.VERSION_KEY), List.of()));
        if (!(result instanceof StoreResult.Committed(List<StoreRow> rows)) || rows.isEmpty()) {
            return OptionalLong.empty();
        }
        Optional<String> value = rows.getFirst().value();
        if (value.isEmpty()) {
            return OptionalLong.of(0);
        }
        return StoreJson.read(value.get(), TableRowValue.VersionValue.class)
                .map(version -> OptionalLong.of(version.version()))
                .orElseGet(OptionalLong::empty);
    }

    /**
     * Reads the whole table at one version, and reads it again if an edit changed the version meanwhile.
     *
     * @return the table, or empty if the store does not answer or edits kept changing the version
     */
    public Optional<Table> read() {
        OptionalLong versionBefore = readVersion();
        for (int attempts = 0; attempts < MAXIMUM_ATTEMPTS && versionBefore.isPresent(); attempts++) {
            Optional<Map<String, KindRow>> kinds = readKinds();
            Optional<Map<String, TeamRow>> teams = readTeams();
            OptionalLong versionAfter = readVersion();
            if (kinds.isEmpty() || teams.isEmpty() || versionAfter.isEmpty()) {
                return Optional.empty();
            }
            if (versionAfter.equals(versionBefore)) {
                return Optional.of(new Table(versionAfter.getAsLong(), kinds.get(), teams.get()));
            }
            versionBefore = versionAfter;
        }
        return Optional.empty();
    }

    private Optional<Map<String, KindRow>> readKinds() {
        return readAll(
                TableRowValue.KINDS_TABLE,
                (text, version) ->
                        StoreJson.read(text, TableRowValue.KindValue.class).map(value -> value.toRow(version)));
    }

    private Optional<Map<String, TeamRow>> readTeams() {
        return readAll(
                TableRowValue.TEAMS_TABLE,
                (text, version) ->
                        StoreJson.read(text, TableRowValue.TeamValue.class).map(value -> value.toRow(version)));
    }

    /** Reads a store table with a parser of a row's text and version. */
    private <T> Optional<Map<String, T>> readAll(String storeTable, BiFunction<String, Long, Optional<T>> parser) {
        return scanAllPages(store, storeTable).map(rows -> {
            Map<String, T> values = new HashMap<>();
            for (StoreRow row : rows) {
                parse(row, parser).ifPresent(value -> values.put(row.key().key(), value));
            }
            return values;
        });
    }

    private static <T> Optional<T> parse(StoreRow row, BiFunction<String, Long, Optional<T>> parser) {
        Optional<T> value = Optional.empty();
        try {
            value = row.value().flatMap(text -> parser.apply(text, row.version()));
        } catch (IllegalArgumentException | NullPointerException e) {
            LOGGER.log(System.Logger.Level.DEBUG, "table row has an absent or invalid value", e);
        }
        if (value.isEmpty()) {
            LOGGER.log(
                    System.Logger.Level.WARNING,
                    EventLine.of("table-row-unreadable")
                            .with("table", row.key().table())
                            .with("key", row.key().key())
                            .toString());
        }
        return value;
    }

    /**
     * Reads all rows of a store table, page by page.
     *
     * @param store the store
     * @param storeTable the store table's name
     * @return the rows in the order of their keys, or empty if the store does not answer or repeats a page
     */
    public static Optional<List<StoreRow>> scanAllPages(PlatformStore store, String storeTable) {
        List<StoreRow> all = new ArrayList<>();
        String afterKey = "";
        while (true) {
            if (!(store.scan(storeTable, afterKey, PAGE_ROWS) instanceof StoreResult.Committed(List<StoreRow> rows))) {
                return Optional.empty();
            }
            all.addAll(rows);
            if (rows.size() < PAGE_ROWS) {
                return Optional.of(List.copyOf(all));
            }
            String lastKey = rows.getLast().key().key();
            if (lastKey.equals(afterKey)) {
                return Optional.empty();
            }
            afterKey = lastKey;
        }
    }
}
