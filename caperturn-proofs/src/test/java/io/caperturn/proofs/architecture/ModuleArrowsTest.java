package io.caperturn.proofs.architecture;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ModuleArrowsTest {
    private static JavaClasses classes;

    @BeforeAll
    static void importClasses() {
        classes = new ClassFileImporter()
                .withImportOption(new ImportOption.DoNotIncludeTests())
                .importPackages("io.caperturn");
    }

    @ParameterizedTest
    @CsvSource({
        "core, kernel", "core, wire", "core, platform", "core, settings", "core, entry",
        "core, sidecar", "kernel, core", "kernel, wire", "kernel, platform", "wire, platform",
        "wire, entry", "wire, sidecar", "platform, wire", "platform, entry", "platform, sidecar",
        "settings, entry", "settings, sidecar", "settings, wire", "settings, platform", "entry, sidecar",
        "sidecar, entry", "entry, cli", "sidecar, cli", "replay, entry", "replay, sidecar",
        "replay, wire", "testkit, core", "testkit, entry", "testkit, sidecar", "testkit, wire"
    })
    void moduleDoesNotSee(String from, String to) {
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
    @CsvSource({"java.net..", "java.io..", "java.nio.channels..", "java.util.concurrent.locks.."})
    void decisionLogicDoesNoInputOrOutput(String forbidden) {
        noClasses()
                .that()
                .resideInAPackage("io.caperturn.core..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage(forbidden)
                .check(classes);
    }

    @Test
    void decisionLogicReadsNoClock() {
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
