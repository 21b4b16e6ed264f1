package io.caperturn.kernel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests of the order in which services are started and stopped, and of their look-up. */
class ServiceRegistryTest {
    private final List<String> calls = new ArrayList<>();
    private final ServiceRegistry services = new ServiceRegistry();

    @Test
    void startsInOrderAndStopsInReverse() throws ServiceStartException {
        register("first", /* failure= */ "");
        register("second", "");

        services.start();
        services.stop();

        assertEquals(List.of("start first", "start second", "stop second", "stop first"), calls);
    }

    @ParameterizedTest
    @ValueSource(strings = {"checked", "unchecked"})
    void stopsStartedServicesIfOneFailsToStart(String failure) {
        register("first", "");
        register("second", failure);
        register("third", "");

        assertThrows(ServiceStartException.class, services::start);

        assertEquals(List.of("start first", "start second", "stop first"), calls);
    }

    @Test
    void stopsTheOthersIfOneFailsToStop() throws ServiceStartException {
        register("first", "");
        register("second", "stop");
        services.start();
        calls.clear();

        services.stop();

        assertEquals(List.of("stop second", "stop first"), calls);
    }

    @Test
    void findsAServiceOnlyByNameAndType() {
        Recorder service = register("first", "");

        assertSame(service, services.find(new ServiceName<>("first", Recorder.class)));
        assertThrows(
                IllegalArgumentException.class,
                () -> services.find(new ServiceName<>("first", ServiceRegistryTest.class)));
        assertThrows(IllegalArgumentException.class, () -> services.find(new ServiceName<>("other", Recorder.class)));
    }

    @Test
    void rejectsANameThatIsAlreadyRegistered() {
        register("first", "");

        assertThrows(IllegalArgumentException.class, () -> register("first", ""));
    }

    private Recorder register(String name, String failure) {
        Recorder service = new Recorder(name, failure);
        services.register(new ServiceName<>(name, Recorder.class), service);
        return service;
    }

    /** Service that records its calls. */
    private final class Recorder implements Service {
        private final String name;
        /** Failure of the start, checked or unchecked, or of the stop; empty for none. */
        private final String failure;

        private Recorder(String name, String failure) {
            this.name = name;
            this.failure = failure;
        }

        @Override
        public void start(ServiceRegistry registry) throws ServiceStartException {
            calls.add("start " + name);
            switch (failure) {
                case "checked" -> throw new ServiceStartException("simulated failure");
                case "unchecked" -> throw new IllegalStateException("simulated failure");
                default -> {
                    // The start succeeds.
                }
            }
        }

        @Override
        public void stop() {
            calls.add("stop " + name);
            if (failure.equals("stop")) {
                throw new IllegalStateException("simulated failure");
            }
        }
    }
}
