package io.caperturn.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.caperturn.settings.internal.SettingsJson;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** Program that a settings file is for. */
public enum SettingsRole {
    /** The entry, which serves callers and operators. */
    ENTRY("entry", EntrySettings.class, List.of("httpAddress", "linkAddress", "platformAddress")),
    /** The sidecar, which runs beside an upstream. */
    SIDECAR("sidecar", SidecarSettings.class, List.of("announceAddress", "entrySeeds", "upstream", "ledger"));

    private final String label;
    private final Class<? extends Settings> type;
    private final List<String> ownKeys;

    SettingsRole(String label, Class<? extends Settings> type, List<String> ownKeys) {
        this.label = label;
        this.type = type;
        this.ownKeys = ownKeys;
    }

    /**
     * Returns the role's name on the command line and in the schema's resource.
     *
     * @return {@code entry} or {@code sidecar}
     */
    public String label() {
        return label;
    }

    /**
     * Returns the settings that the role's file gives.
     *
     * @return the record's class
     */
    public Class<? extends Settings> type() {
        return type;
    }

    /**
     * Finds the role that has a type of settings.
     *
     * @param type the record's class
     * @return the role
     * @throws IllegalArgumentException if no role has it
     */
    public static SettingsRole of(Class<? extends Settings> type) {
        return Arrays.stream(values())
                .filter(role -> role.type.equals(type))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no role has " + type.getName()));
    }

    /**
     * Guesses the role from the keys that only one of them has.
     *
     * @param text the file's text
     * @return the role with the most keys of its own, or empty if none leads or the text is no JSON object
     */
    public static Optional<SettingsRole> detect(String text) {
        return SettingsJson.parse(text) instanceof SettingsJson.Parsed.Tree(JsonNode node)
                        && node instanceof ObjectNode object
                ? detect(object)
                : Optional.empty();
    }

    private static Optional<SettingsRole> detect(ObjectNode object) {
        long entry = ENTRY.ownKeysIn(object);
        long sidecar = SIDECAR.ownKeysIn(object);
        if (entry == sidecar) {
            return Optional.empty();
        }
        return Optional.of(entry > sidecar ? ENTRY : SIDECAR);
    }

    private long ownKeysIn(ObjectNode object) {
        return ownKeys.stream().filter(object::has).count();
    }
}
