package io.caperturn.platform.registry;

import static io.caperturn.platform.FakePlatformStore.Fault.LOST_AFTER;
import static io.caperturn.platform.FakePlatformStore.Fault.LOST_BEFORE;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.caperturn.core.model.ProcessId;
import io.caperturn.platform.FakePlatformStore;
import io.caperturn.platform.FakePlatformStore.Fault;
import io.caperturn.platform.RowKey;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests of the registry of entries. */
class EntryRegistryTest {
    private final FakePlatformStore store = new FakePlatformStore();
    private final EntryRegistry registry = new EntryRegistry(store);

    @ParameterizedTest
    @EnumSource(names = "REFUSED", mode = EnumSource.Mode.EXCLUDE)
    void listsWhatWasRegisteredUnderEachFault(Fault fault) {
        store.failNext(List.of(fault));

        registry.register(registration(1));

        assertEquals(new RegistryResult.Entries(List.of(registration(1))), registry.list());
    }

    @ParameterizedTest
    @CsvSource({"1, 2, 2", "2, 1, 2", "2, 2, 2"})
    void keepsTheLaterIncarnation(long first, long second, long kept) {
        registry.register(registration(first));
        registry.register(registration(second));

        assertEquals(new RegistryResult.Entries(List.of(registration(kept))), registry.list());
    }

    @ParameterizedTest
    @CsvSource({"1, 0", "2, 0", "0, 1"})
    void removesNoLaterIncarnation(long remover, int left) {
        registry.register(registration(1));
        store.failNext(List.of(LOST_BEFORE, LOST_AFTER));

        registry.remove(new ProcessId("entry", remover));

        assertEquals(
                left,
                assertInstanceOf(RegistryResult.Entries.class, registry.list())
                        .entries()
                        .size());
    }

    @Test
    void saysThatTheStoreIsDown() {
        store.setDown(true);

        assertInstanceOf(RegistryResult.Failed.class, registry.register(registration(1)));
        assertInstanceOf(RegistryResult.Failed.class, registry.list());
    }

    @Test
    void leavesOutAnUnreadableRow() {
        store.put(new RowKey("entries", "bad"), "{\"name\":\"\"}");
        registry.register(registration(1));

        assertEquals(new RegistryResult.Entries(List.of(registration(1))), registry.list());
    }

    private static EntryRegistration registration(long incarnation) {
        return new EntryRegistration(
                new ProcessId("entry", incarnation),
                "127.0.0.1:1",
                "zone-a",
                Set.of(new ProcessId("sidecar-1", 1), new ProcessId("sidecar-2", 2)),
                false);
    }
}
