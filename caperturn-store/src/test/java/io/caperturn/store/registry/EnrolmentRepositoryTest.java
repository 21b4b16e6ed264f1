package io.caperturn.store.registry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.caperturn.core.model.ProcessId;
import io.caperturn.store.FakePlatformStore;
import io.caperturn.store.FakePlatformStore.Fault;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests of the stored record of the sidecar processes that an entry process has enrolled; a closed record accepts no
 * more.
 */
class EnrolmentRepositoryTest {
    private static final ProcessId ENTRY = new ProcessId("entry", 1);
    private static final ProcessId FIRST_SIDECAR = new ProcessId("sidecar-1", 1);
    private static final ProcessId SECOND_SIDECAR = new ProcessId("sidecar-2", 2);

    private final FakePlatformStore store = new FakePlatformStore();
    private final EnrolmentRepository enrolments = new EnrolmentRepository(store);

    @ParameterizedTest
    @EnumSource(
            names = {"REFUSED", "LIMITED"},
            mode = EnumSource.Mode.EXCLUDE)
    void closeReturnsEveryEnrolledSidecarUnlessStoreRefuses(Fault fault) {
        enrolments.enrol(ENTRY, Set.of(FIRST_SIDECAR));
        enrolments.enrol(ENTRY, Set.of(FIRST_SIDECAR, SECOND_SIDECAR));
        store.failNext(List.of(fault));
        assertEquals(new EnrolmentResult.Closed(Set.of(FIRST_SIDECAR, SECOND_SIDECAR)), enrolments.close(ENTRY));
    }

    @Test
    void closedRecordAcceptsNoSidecar() {
        enrolments.enrol(ENTRY, Set.of(FIRST_SIDECAR));
        enrolments.close(ENTRY);
        assertEquals(
                new EnrolmentResult.Closed(Set.of(FIRST_SIDECAR)),
                enrolments.enrol(ENTRY, Set.of(FIRST_SIDECAR, SECOND_SIDECAR)));
    }

    @Test
    void recordWithoutSidecarsCanBeClosed() {
        assertEquals(new EnrolmentResult.Closed(Set.of()), enrolments.close(ENTRY));
        assertEquals(new EnrolmentResult.Closed(Set.of()), enrolments.enrol(ENTRY, Set.of(FIRST_SIDECAR)));
    }

    @Test
    void laterIncarnationHasItsOwnRecord() {
        enrolments.close(ENTRY);
        assertInstanceOf(
                EnrolmentResult.Enrolled.class, enrolments.enrol(new ProcessId("entry", 2), Set.of(FIRST_SIDECAR)));
    }
}
