package io.caperturn.settings.internal;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.caperturn.settings.EntrySettings;
import io.caperturn.settings.LinkTimes;
import io.caperturn.settings.Settings;
import io.caperturn.settings.SettingsMistake;
import io.caperturn.settings.SettingsRole;
import io.caperturn.settings.SidecarSettings;
import java.util.regex.Pattern;

/** Steps between the text of settings, its tree and its record. */
public final class SettingsJson {
    private static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    /** Part of the parser's messages that names the text's source, which it does not show. */
    private static final Pattern START_MARKER = Pattern.compile(" \\(start marker at .*", Pattern.DOTALL);

    private SettingsJson() {}

    /** What came of parsing text. */
    public sealed interface Parsed {
        /**
         * The text is JSON.
         *
         * @param node its tree
         */
        record Tree(JsonNode node) implements Parsed {}

        /**
         * The text is no JSON.
         *
         * @param mistake where it goes wrong
         */
        record Malformed(SettingsMistake mistake) implements Parsed {}
    }

    /**
     * Parses text; a key given twice and text after the end count as malformed.
     *
     * @param text the text
     * @return its tree, or where it goes wrong
     */
    public static Parsed parse(String text) {
        try {
            JsonNode node = MAPPER.readTree(text);
            if (node.isMissingNode()) {
                return new Parsed.Malformed(new SettingsMistake("", "empty text", "a JSON object"));
            }
            return new Parsed.Tree(node);
        } catch (JsonProcessingException e) {
            return new Parsed.Malformed(malformed(e));
        }
    }

    /**
     * Lays the given values over the defaults of the role.
     *
     * @param given the file's tree, which is left as it is
     * @param role the program
     * @return the complete tree
     */
    public static ObjectNode withDefaults(ObjectNode given, SettingsRole role) {
        ObjectNode complete = defaults(role);
        given.properties().forEach(property -> {
            JsonNode known = complete.get(property.getKey());
            if (known instanceof ObjectNode section && property.getValue() instanceof ObjectNode values) {
                section.setAll(values);
            } else {
                complete.set(property.getKey(), property.getValue());
            }
        });
        return complete;
    }

    /**
     * Binds a tree that passed all checks.
     *
     * @param <T> the settings that are asked for
     * @param complete the tree
     * @param type the record's class
     * @return the record
     * @throws IllegalStateException if the tree does not fit the record, which the checks exclude
     */
    public static <T extends Settings> T bind(ObjectNode complete, Class<T> type) {
        try {
            return MAPPER.treeToValue(complete, type);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("schema and record disagree: " + e.getOriginalMessage(), e);
        }
    }

    /**
     * Returns the defaults of a role.
     *
     * @param role the program
     * @return a new tree with the optional values only
     */
    public static ObjectNode defaults(SettingsRole role) {
        ObjectNode tree = MAPPER.createObjectNode();
        tree.set("links", MAPPER.valueToTree(LinkTimes.DEFAULT));
        switch (role) {
            case ENTRY -> {
                tree.set("requests", MAPPER.valueToTree(EntrySettings.RequestBounds.DEFAULT));
                tree.set("claims", MAPPER.valueToTree(EntrySettings.ClaimTimes.DEFAULT));
                tree.set("answers", MAPPER.valueToTree(EntrySettings.AnswerRetention.DEFAULT));
                tree.put("unservableGraceMilliseconds", EntrySettings.DEFAULT_UNSERVABLE_GRACE_MILLISECONDS);
                tree.put("drainTimeoutMilliseconds", EntrySettings.DEFAULT_DRAIN_TIMEOUT_MILLISECONDS);
            }
            case SIDECAR -> {
                tree.set("upstream", MAPPER.valueToTree(SidecarSettings.UpstreamTreatment.DEFAULT));
                tree.set("ledger", MAPPER.valueToTree(SidecarSettings.LedgerBounds.DEFAULT));
                tree.put("drainTimeoutMilliseconds", SidecarSettings.DEFAULT_DRAIN_TIMEOUT_MILLISECONDS);
            }
        }
        return tree;
    }

    private static SettingsMistake malformed(JsonProcessingException e) {
        JsonLocation location = e.getLocation();
        String place = location == null
                ? "malformed text"
                : "text at line " + location.getLineNr() + ", column " + location.getColumnNr();
        String cause = START_MARKER.matcher(e.getOriginalMessage()).replaceFirst("");
        return new SettingsMistake("", place, "well-formed JSON (" + cause + ")");
    }
}
