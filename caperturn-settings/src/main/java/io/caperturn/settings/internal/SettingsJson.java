package io.caperturn.settings.internal;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.caperturn.settings.EntrySettings;
import io.caperturn.settings.LinkTimeSettings;
import io.caperturn.settings.Settings;
import io.caperturn.settings.SettingsMistake;
import io.caperturn.settings.SettingsRole;
import io.caperturn.settings.SidecarSettings;
import java.util.regex.Pattern;

/** Conversion of settings from JSON text to a tree and from the tree to a record. */
public final class SettingsJson {
    private static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    /** Part of the parser's messages that describes the source of the text; removed because it names no file. */
    private static final Pattern SOURCE_DESCRIPTION = Pattern.compile(" \\(start marker at .*", Pattern.DOTALL);

    private SettingsJson() {}

    /** Result of parsing text. */
    public sealed interface ParseResult {
        /**
         * The text is JSON.
         *
         * @param node the tree of the text
         */
        record Tree(JsonNode node) implements ParseResult {}

        /**
         * The text is not well-formed JSON.
         *
         * @param mistake the mistake with its location
         */
        record Malformed(SettingsMistake mistake) implements ParseResult {}
    }

    /**
     * Parses text; duplicate keys and text after the JSON value are malformed.
     *
     * @param text the text
     * @return the tree, or the mistake with its location
     */
    public static ParseResult parse(String text) {
        try {
            JsonNode node = MAPPER.readTree(text);
            if (node.isMissingNode()) {
                return new ParseResult.Malformed(new SettingsMistake("", "empty text", "a JSON object"));
            }
            return new ParseResult.Tree(node);
        } catch (JsonProcessingException e) {
            return new ParseResult.Malformed(toMistake(e));
        }
    }

    /**
     * Combines the given values with the role's defaults for absent ones.
     *
     * @param given the tree of the settings file, which is not changed
     * @param role the role
     * @return a new tree with the given values and the defaults
     */
    public static ObjectNode withDefaults(ObjectNode given, SettingsRole role) {
        ObjectNode complete = defaults(role);
        given.properties().forEach(property -> {
            JsonNode defaultValue = complete.get(property.getKey());
            if (defaultValue instanceof ObjectNode section && property.getValue() instanceof ObjectNode values) {
                section.setAll(values);
            } else {
                complete.set(property.getKey(), property.getValue());
            }
        });
        return complete;
    }

    /**
     * Converts a tree that has passed all checks to a record.
     *
     * @param <T> the type of the settings
     * @param complete the tree, including the defaults
     * @param type the record's class
     * @return the record
     * @throws IllegalStateException if the tree does not match the record, that is, if schema and record disagree
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
     * @param role the role
     * @return a new tree with the optional values only
     */
    public static ObjectNode defaults(SettingsRole role) {
        ObjectNode tree = MAPPER.createObjectNode();
        tree.set("links", MAPPER.valueToTree(LinkTimeSettings.DEFAULT));
        switch (role) {
            case ENTRY -> {
                tree.set("requests", MAPPER.valueToTree(EntrySettings.RequestBounds.DEFAULT));
                tree.set("claims", MAPPER.valueToTree(EntrySettings.ClaimSettings.DEFAULT));
                tree.set("answers", MAPPER.valueToTree(EntrySettings.AnswerRetention.DEFAULT));
                tree.put("unservableGraceMilliseconds", EntrySettings.DEFAULT_UNSERVABLE_GRACE_MILLISECONDS);
                tree.put("drainTimeoutMilliseconds", EntrySettings.DEFAULT_DRAIN_TIMEOUT_MILLISECONDS);
            }
            case SIDECAR -> {
                tree.set("upstream", MAPPER.valueToTree(SidecarSettings.UpstreamSettings.DEFAULT));
                tree.set("ledger", MAPPER.valueToTree(SidecarSettings.LedgerBounds.DEFAULT));
                tree.put("drainTimeoutMilliseconds", SidecarSettings.DEFAULT_DRAIN_TIMEOUT_MILLISECONDS);
            }
        }
        return tree;
    }

    private static SettingsMistake toMistake(JsonProcessingException e) {
        JsonLocation location = e.getLocation();
        String place = location == null
                ? "malformed text"
                : "text at line " + location.getLineNr() + ", column " + location.getColumnNr();
        String cause = SOURCE_DESCRIPTION.matcher(e.getOriginalMessage()).replaceFirst("");
        return new SettingsMistake("", place, "well-formed JSON (" + cause + ")");
    }
}
