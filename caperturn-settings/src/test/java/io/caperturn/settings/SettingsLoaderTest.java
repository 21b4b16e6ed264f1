package io.caperturn.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests of defaults, of accepted and rejected values, and of the reported mistakes. */
class SettingsLoaderTest {
    private static final String REQUIRED_KEYS_EXCEPT_HTTP_ADDRESS = """
            "name":"entry-a","availabilityZone":"zone-a","linkAddress":"127.0.0.1:0","platformAddress":"127.0.0.1:8090"
            """;

    private static List<SettingsMistake> mistakesOf(SettingsResult<?> result) {
        SettingsResult.Invalid<?> invalid = assertInstanceOf(SettingsResult.Invalid.class, result);
        return invalid.mistakes();
    }

    private static SettingsResult<EntrySettings> parseEntrySettings(String additionalKeys) {
        return SettingsLoader.parse(
                "{" + REQUIRED_KEYS_EXCEPT_HTTP_ADDRESS + ",\"httpAddress\":\"127.0.0.1:0\"" + additionalKeys + "}",
                EntrySettings.class);
    }

    @ParameterizedTest
    @EnumSource(SettingsRole.class)
    void shippedExampleIsValid(SettingsRole role) {
        Path example = Path.of("..", "examples", role.label() + ".json");
        assertInstanceOf(SettingsResult.Valid.class, SettingsLoader.load(example, role.type()));
    }

    @Test
    void absentValuesGetDefaultsAlsoWithinSections() {
        SettingsResult<EntrySettings> result = parseEntrySettings(",\"claims\":{\"timeoutMilliseconds\":1500}");
        EntrySettings settings = (EntrySettings)
                assertInstanceOf(SettingsResult.Valid.class, result).settings();
        assertEquals(
                new EntrySettings.ClaimSettings(
                        /* batchIntervalMilliseconds= */ 0,
                        /* timeoutMilliseconds= */ 1_500,
                        /* maximumBatch= */ 500,
                        /* expiryMilliseconds= */ 86_400_000L),
                settings.claims());
        assertEquals(LinkTimeSettings.DEFAULT, settings.links());
    }

    @Test
    void allMistakesAreReportedTogether() {
        String text = "{" + REQUIRED_KEYS_EXCEPT_HTTP_ADDRESS + """
                ,"httpAddress":"localhost:80","colour":"red","requests":{"maximumTasks":0}}
                """;
        List<SettingsMistake> mistakes = mistakesOf(SettingsLoader.parse(text, EntrySettings.class));
        assertEquals(
                List.of("/colour", "/httpAddress", "/requests/maximumTasks"),
                mistakes.stream().map(SettingsMistake::path).sorted().toList());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                ",\"claims\":{\"batch\":1} | /claims/batch | unknown key | maximumBatch",
                ",\"requests\":{\"maximumTasks\":0} | /requests/maximumTasks | 0 | at least 1",
                ",\"requests\":{\"maximumTasks\":\"many\"} | /requests/maximumTasks | \"many\" | integer",
                ",\"links\":{\"silenceTimeoutMilliseconds\":900} | /links/silenceTimeoutMilliseconds | 900 | more than",
                ",\"claims\":{\"expiryMilliseconds\":599999} | /claims/expiryMilliseconds | 599999 | at least",
                ",\"drainTimeoutMilliseconds\":0 | /drainTimeoutMilliseconds | 0 | at least 1",
                ",\"drainTimeoutMilliseconds\":9999999999 | /drainTimeoutMilliseconds | 9999999999 | at most"
            })
    void mistakeContainsPathValueAndAllowedValues(String additionalKeys, String path, String value, String allowed) {
        SettingsMistake mistake = mistakesOf(parseEntrySettings(additionalKeys)).getFirst();
        assertEquals(path, mistake.path());
        assertEquals(value, mistake.value());
        assertTrue(mistake.allowed().contains(allowed), mistake.allowed());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "localhost:80",
                "127.0.0.1",
                "127.0.0.1:65536",
                "127.0.0.256:80",
                "127.0.1:80",
                "127.0.0.1.:80",
                "::1:80",
                "[::1::]:80",
                "127.0.0.1:-1",
                ":80",
                ""
            })
    void rejectsAddressOtherThanIpAddressWithPort(String address) {
        String text = "{" + REQUIRED_KEYS_EXCEPT_HTTP_ADDRESS + ",\"httpAddress\":\"" + address + "\"}";
        assertEquals(
                List.of("/httpAddress"),
                mistakesOf(SettingsLoader.parse(text, EntrySettings.class)).stream()
                        .map(SettingsMistake::path)
                        .toList());
    }

    @ParameterizedTest
    @ValueSource(strings = {"0.0.0.0:8080", "[::]:0", "[2001:db8::1]:8080", "192.168.255.1:65535"})
    void acceptsListenAddress(String address) {
        String text = "{" + REQUIRED_KEYS_EXCEPT_HTTP_ADDRESS + ",\"httpAddress\":\"" + address + "\"}";
        assertInstanceOf(SettingsResult.Valid.class, SettingsLoader.parse(text, EntrySettings.class));
    }

    @ParameterizedTest
    @CsvSource({"127.0.0.1:0, 127.0.0.1:1, 0", "0.0.0.0:1, 127.0.0.1:1, 0", "127.0.0.1:1, 127.0.0.1:1, 1"})
    void rejectsUnreachableAndDuplicateSeeds(String firstSeed, String secondSeed, int indexOfWrongSeed) {
        String text = """
                {"name":"sidecar-a","availabilityZone":"zone-a","announceAddress":"127.0.0.1:0",
                "entrySeeds":["%s","%s"]}
                """.formatted(firstSeed, secondSeed);
        assertEquals(
                List.of("/entrySeeds/" + indexOfWrongSeed),
                mistakesOf(SettingsLoader.parse(text, SidecarSettings.class)).stream()
                        .map(SettingsMistake::path)
                        .toList());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{\"name\":\\n  oops} | line 2, column 3",
                "{} {} | line 1, column 4",
                "{\"name\": | line 1, column",
                "{\"name\":1,\"name\":2} | line 1, column",
                "'' | empty text"
            })
    void malformedTextIsOneMistakeWithLocation(String text, String location) {
        List<SettingsMistake> mistakes =
                mistakesOf(SettingsLoader.parse(text.replace("\\n", "\n"), EntrySettings.class));
        assertEquals(1, mistakes.size());
        assertTrue(mistakes.getFirst().value().contains(location), mistakes.toString());
        // The parser writes REDACTED where it describes the source of the text.
        assertFalse(mistakes.getFirst().allowed().contains("REDACTED"), mistakes.toString());
    }

    @Test
    void textThatIsNotAnObjectIsAMistake() {
        assertEquals(
                1, mistakesOf(SettingsLoader.parse("[]", EntrySettings.class)).size());
    }

    @Test
    void unreadableFileIsOneMistake() {
        assertEquals(
                1,
                mistakesOf(SettingsLoader.load(Path.of("absent.json"), EntrySettings.class))
                        .size());
    }

    @ParameterizedTest
    @CsvSource({"httpAddress, ENTRY", "entrySeeds, SIDECAR", "name,"})
    void roleIsDetectedByDistinctiveKeys(String key, SettingsRole role) {
        assertEquals(Optional.ofNullable(role), SettingsRole.detect("{\"" + key + "\":1}"));
    }
}
