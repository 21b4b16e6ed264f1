package io.caperturn.proofs.architecture;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks that modules do not use certain others, and that decision logic (the modules core and jobs) uses no network,
 * no locks and no clock; core also does no input or output.
 */
class ModuleDependencyTest {
    private static JavaClasses classes;

    @BeforeAll
    static void importClasses() {
        classes = new ClassFileImporter()
                .withImportOption(new ImportOption.DoNotIncludeTests())
                .importPackages("io.caperturn");
    }

    @ParameterizedTest
    @CsvSource({
        "core, kernel",
        "core, wire",
        "core, store",
        "core, settings",
        "core, entry",
        "core, sidecar",
        "kernel, core",
        "kernel, wire",
        "kernel, store",
        "wire, store",
        "wire, entry",
        "wire, sidecar",
        "store, wire",
        "store, entry",
        "store, sidecar",
        "settings, entry",
        "settings, sidecar",
        "settings, wire",
        "settings, store",
        "entry, sidecar",
        "sidecar, entry",
        "entry, cli",
        "sidecar, cli",
        "replay, entry",
        "replay, sidecar",
        "jobs, platform",
        "jobs, fleet",
        "jobs, store",
        "jobs, wire",
        "jobs, core",
        "platform, fleet",
        "platform, store",
        "platform, wire",
        "platform, core",
        "core, platform",
        "kernel, platform",
        "wire, platform",
        "store, platform",
        "entry, platform",
        "sidecar, platform",
        "cli, platform",
        "replay, platform",
        "replay, wire",
        "testkit, core",
        "testkit, entry",
        "testkit, sidecar",
        "testkit, wire"
    })
    void moduleDoesNotDependOn(String from, String to) {
        noClasses()
                .that()
                .resideInAPackage("io.caperturn." + from + "..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("io.caperturn." + to + "..")
                .allowEmptyShould(true)
                .check(classes);
    }

    @ParameterizedTest
    @CsvSource({"java.net..", "java.nio.channels..", "io.netty..", "java.util.concurrent.locks.."})
    void storedJobDecisionsDoNotUseNetworkOrLocks(String forbidden) {
        noClasses()
                .that()
                .resideInAPackage("io.caperturn.jobs..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage(forbidden)
                .check(classes);
    }

    @Test
    void storedJobDecisionsDoNotReadClock() {
        noClasses()
                .that()
                .resideInAPackage("io.caperturn.jobs..")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(classes);
    }

    /** Names of the platform's protocol, to which the module platform is the adapter. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "rows-tx",
                "rows-get",
                "rows-feed",
                "run-start",
                "run-stop",
                "ackCursor",
                "fencingToken",
                "untilMs",
                "schemaVersion",
                "precondition",
                "waitMs",
                "clockMs",
                "heartbeatUrl",
                "internalPorts",
                "maxHoldMs",
                "targetDurationMs",
                "estimatedMs",
                "memMb",
                "Expected-Instance",
                "/instances/"
            })
    void platformNameOccursOnlyInAdapter(String name) throws IOException {
        Path root = Path.of("").toAbsolutePath().getParent();
        try (Stream<Path> files = Files.walk(root)) {
            List<Path> elsewhere = files.filter(file -> file.toString().endsWith(".java"))
                    .filter(file -> file.toString().contains("src/main/java"))
                    .filter(file -> !file.startsWith(root.resolve("platform")))
                    .filter(file -> contains(file, name))
                    .toList();
            assertEquals(List.of(), elsewhere);
        }
    }

    private static boolean contains(Path file, String name) {
        try {
            return Files.readString(file).contains(name);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @ParameterizedTest
    @CsvSource({"java.net..", "java.io..", "java.nio.channels..", "java.util.concurrent.locks.."})
    void decisionLogicDoesNotUseInputOutputOrLocks(String forbidden) {
        noClasses()
                .that()
                .resideInAPackage("io.caperturn.core..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage(forbidden)
                .check(classes);
    }

    @Test
    void decisionLogicDoesNotReadClock() {
        noClasses()
                .that()
                .resideInAPackage("io.caperturn.core..")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(java.time.Instant.class, "now")
                .check(classes);
    }
}
