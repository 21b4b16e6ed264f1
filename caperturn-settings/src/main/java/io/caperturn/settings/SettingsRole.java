package io.caperturn.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.caperturn.settings.internal.SettingsJson;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** Role of the process that a settings file is for. */
public enum SettingsRole {
    /** The entry process, which serves callers and operators. */
    ENTRY("entry", EntrySettings.class, List.of("httpAddress", "linkAddress", "platformAddress")),
    /** The sidecar process, which runs beside an upstream. */
    SIDECAR("sidecar", SidecarSettings.class, List.of("announceAddress", "entrySeeds", "upstream", "ledger"));

    private final String label;
    private final Class<? extends Settings> type;
    private final List<String> distinctiveKeys;

    SettingsRole(String label, Class<? extends Settings> type, List<String> distinctiveKeys) {
        this.label = label;
        this.type = type;
        this.distinctiveKeys = distinctiveKeys;
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
     * Returns the type of the role's settings.
     *
     * @return the record's class
     */
    public Class<? extends Settings> type() {
        return type;
    }

    /**
     * Returns the role with the given type of settings.
     *
     * @param type the record's class
     * @return the role
     * @throws IllegalArgumentException if no role has settings of that type
     */
    public static SettingsRole of(Class<? extends Settings> type) {
        return Arrays.stream(values())
                .filter(role -> role.type.equals(type))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("no role has settings of type " + type.getName()));
    }

    /**
     * Detects the role by the keys that only one role has.
     *
     * @param text the file's text
     * @return the role with more such keys in the text, or empty if both have the same number or the text is not a JSON
     *     object
     */
    public static Optional<SettingsRole> detect(String text) {
        return SettingsJson.parse(text) instanceof SettingsJson.ParseResult.Tree(JsonNode node)
                        && node instanceof ObjectNode object
                ? detect(object)
                : Optional.empty();
    }

    private static Optional<SettingsRole> detect(ObjectNode object) {
        long entry = ENTRY.countDistinctiveKeys(object);
        long sidecar = SIDECAR.countDistinctiveKeys(object);
        if (entry == sidecar) {
            return Optional.empty();
        }
        return Optional.of(entry > sidecar ? ENTRY : SIDECAR);
    }

    private long countDistinctiveKeys(ObjectNode object) {
        return distinctiveKeys.stream().filter(object::has).count();
    }
}
