package io.caperturn.kernel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests of the kernel's order of starts and stops. */
class KernelTest {
    private final List<String> calls = new ArrayList<>();
    private final ServiceRegistry kernel = new ServiceRegistry();

    @Test
    void startsInOrderAndStopsInReverse() throws ServiceStartException {
        register("first", "");
        register("second", "");

        kernel.start();
        kernel.stop();

        assertEquals(List.of("start first", "start second", "stop second", "stop first"), calls);
    }

    @ParameterizedTest
    @ValueSource(strings = {"checked", "unchecked"})
    void stopsTheEarlierServicesIfOneFailsToStart(String failure) {
        register("first", "");
        register("second", failure);
        register("third", "");

        assertThrows(ServiceStartException.class, kernel::start);

        assertEquals(List.of("start first", "start second", "stop first"), calls);
    }

    @Test
    void stopsTheOthersIfOneFailsToStop() throws ServiceStartException {
        register("first", "");
        register("second", "stop");
        kernel.start();
        calls.clear();

        kernel.stop();

        assertEquals(List.of("stop second", "stop first"), calls);
    }

    @Test
    void findsAServiceByNameAndTypeOnly() {
        Recorder service = register("first", "");

        assertSame(service, kernel.find(new ServiceName<>("first", Recorder.class)));
        assertThrows(IllegalArgumentException.class, () -> kernel.find(new ServiceName<>("first", KernelTest.class)));
        assertThrows(IllegalArgumentException.class, () -> kernel.find(new ServiceName<>("other", Recorder.class)));
    }

    @Test
    void refusesANameThatIsTaken() {
        register("first", "");

        assertThrows(IllegalArgumentException.class, () -> register("first", ""));
    }

    private Recorder register(String name, String failure) {
        Recorder service = new Recorder(name, failure);
        kernel.register(new ServiceName<>(name, Recorder.class), service);
        return service;
    }

    /** Service that notes its calls and fails as told. */
    private final class Recorder implements Service {
        private final String name;
        private final String failure;

        private Recorder(String name, String failure) {
            this.name = name;
            this.failure = failure;
        }

        @Override
        public void start(ServiceRegistry owner) throws ServiceStartException {
            calls.add("start " + name);
            switch (failure) {
                case "checked" -> throw new ServiceStartException("told to");
                case "unchecked" -> throw new IllegalStateException("told to");
                default -> {
                    // Starts.
                }
            }
        }

        @Override
        public void stop() {
            calls.add("stop " + name);
            if (failure.equals("stop")) {
                throw new IllegalStateException("told to");
            }
        }
    }
}
