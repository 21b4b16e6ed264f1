package io.caperturn.platform.registry;

import io.caperturn.core.model.ProcessId;
import io.caperturn.kernel.EventLine;
import io.caperturn.platform.PlatformStore;
import io.caperturn.platform.Row;
import io.caperturn.platform.RowKey;
import io.caperturn.platform.StoreResult;
import io.caperturn.platform.Transaction;
import io.caperturn.platform.Write;
import io.caperturn.platform.internal.EntryRow;
import io.caperturn.platform.internal.Json;
import io.caperturn.platform.internal.TableReader;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Registry of entries in the store, one row for each name.
 *
 * <p>Incarnations of one name are ordered by their number: a later one replaces an earlier one, never the reverse.
 * Calls block and may come from any thread.
 */
public final class EntryRegistry {
    private static final System.Logger LOGGER = System.getLogger(EntryRegistry.class.getName());
    private static final int MAXIMUM_TRIES = 5;

    private final PlatformStore store;

    /**
     * Creates the registry.
     *
     * @param store the store
     */
    public EntryRegistry(PlatformStore store) {
        this.store = Objects.requireNonNull(store, "store");
    }

    /**
     * Registers an entry, or replaces what it or an earlier incarnation registered.
     *
     * @param registration what to register
     * @return the registration, or the failure, as when a later incarnation is registered
     */
    public RegistryResult register(EntryRegistration registration) {
        Optional<String> value = Optional.of(Json.write(registration.toRow()));
        return replace(registration.process(), value, new RegistryResult.Entries(List.of(registration)));
    }

    /**
     * Removes an entry's row, unless a later incarnation has taken it.
     *
     * @param process the entry
     * @return an empty list, or the failure
     */
    public RegistryResult remove(ProcessId process) {
        return replace(process, Optional.empty(), new RegistryResult.Entries(List.of()));
    }

    /**
     * Lists all registered entries; rows that can't be read are left out and logged.
     *
     * @return the entries in the order of their names, or the failure
     */
    public RegistryResult list() {
        return TableReader.scan(store, EntryRow.TABLE)
                .<RegistryResult>map(rows -> new RegistryResult.Entries(
                        rows.stream().flatMap(row -> parse(row).stream()).toList()))
                .orElseGet(() -> new RegistryResult.Failed("the store does not answer"));
    }

    private RegistryResult replace(ProcessId process, Optional<String> value, RegistryResult done) {
        RowKey key = EntryRow.keyOf(process);
        String detail = "the row kept changing";
        for (int tries = 0; tries < MAXIMUM_TRIES; tries++) {
            if (!(store.transact(new Transaction(List.of(key), List.of()))
                    instanceof StoreResult.Committed(List<Row> rows))) {
                return new RegistryResult.Failed("the store does not answer");
            }
            Row row = rows.getFirst();
            if (isLater(row, process)) {
                return value.isEmpty() ? done : new RegistryResult.Failed("a later incarnation is registered");
            }
            if (row.value().equals(value)) {
                return done;
            }
            Write write = new Write(key, row.version(), value);
            switch (store.transact(new Transaction(List.of(), List.of(write)))) {
                case StoreResult.Committed ignored -> {
                    return done;
                }
                case StoreResult.Conflict ignored -> detail = "the row kept changing";
                case StoreResult.Unavailable(String reason) -> {
                    return new RegistryResult.Failed(reason);
                }
                case StoreResult.Unknown(String reason) -> detail = reason;
            }
        }
        return new RegistryResult.Failed(detail);
    }

    private static boolean isLater(Row row, ProcessId process) {
        return parse(row)
                .filter(registered -> registered.process().incarnation() > process.incarnation())
                .isPresent();
    }

    private static Optional<EntryRegistration> parse(Row row) {
        Optional<EntryRegistration> registration =
                row.value().flatMap(text -> Json.read(text, EntryRow.class)).map(EntryRegistration::of);
        if (row.value().isPresent() && registration.isEmpty()) {
            LOGGER.log(
                    System.Logger.Level.WARNING,
                    EventLine.of("entry-row-unreadable")
                            .with("key", row.key().key())
                            .toString());
        }
        return registration;
    }
}
