package io.caperturn.entry.table;

import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.caperturn.store.table.RowEdit;
import io.caperturn.store.table.TableChange;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Reader of the bodies by which operators change the table. */
final class ChangeParser {
    private static final int MAXIMUM_CHANGE_ID_LENGTH = 200;

    private final ObjectMapper mapper = JsonMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();

    /**
     * Reads a change of any number of rows.
     *
     * @param body the JSON text
     * @return the change, or its mistakes
     */
    ChangeParseResult parseChange(byte[] body) {
        Optional<JsonNode> root = parseObject(body);
        if (root.isEmpty() || !root.get().path("edits").isArray()) {
            return new ChangeParseResult.Malformed("a JSON object with changeId, author and edits is needed");
        }
        List<RowEdit> edits = new ArrayList<>();
        List<RowError> mistakes = new ArrayList<>();
        JsonNode listed = root.get().get("edits");
        for (int index = 0; index < listed.size(); index++) {
            parseEdit("edits[" + index + "]", listed.get(index), mistakes).ifPresent(edits::add);
        }
        return createResult(
                root.get().path("changeId").asText(),
                root.get().path("author").asText(),
                root.get().path("dryRun").asBoolean(),
                edits,
                mistakes);
    }

    /**
     * Reads a change of one row.
     *
     * @param target the row and the version that it must have
     * @param changeId the change's identity
     * @param author who makes it
     * @param body the row as JSON text
     * @return the change, or its mistakes
     */
    ChangeParseResult parseRow(RowTarget target, String changeId, String author, byte[] body) {
        Optional<JsonNode> row = parseObject(body);
        if (row.isEmpty()) {
            return new ChangeParseResult.Malformed("the row as a JSON object is needed");
        }
        List<RowError> mistakes = new ArrayList<>();
        RowEdit edit = parsePut(target, row.get(), mistakes);
        return createResult(changeId, author, false, List.of(edit), mistakes);
    }

    /**
     * Makes the change that deletes one row.
     *
     * @param target the row and the version that it must have
     * @param changeId the change's identity
     * @param author who makes it
     * @return the change, or its mistakes
     */
    ChangeParseResult createDeletion(RowTarget target, String changeId, String author) {
        return createResult(changeId, author, false, List.of(deletionEdit(target)), List.of());
    }

    private static ChangeParseResult createResult(
            String changeId, String author, boolean dryRun, List<RowEdit> edits, List<RowError> mistakes) {
        if (changeId.isBlank() || changeId.length() > MAXIMUM_CHANGE_ID_LENGTH) {
            return new ChangeParseResult.Malformed(
                    "a change identity of 1 to " + MAXIMUM_CHANGE_ID_LENGTH + " characters is needed");
        }
        if (author.isBlank()) {
            return new ChangeParseResult.Malformed("an author is needed");
        }
        return mistakes.isEmpty()
                ? new ChangeParseResult.Valid(new TableChange(changeId, author, edits), dryRun)
                : new ChangeParseResult.InvalidRows(mistakes);
    }

    private static Optional<RowEdit> parseEdit(String place, JsonNode edit, List<RowError> mistakes) {
        JsonNode version = edit.path("expectedVersion");
        if (!version.isIntegralNumber() || version.asLong() < 0) {
            mistakes.add(new RowError(place, "expectedVersion", "the version of the row is needed, 0 if it is new"));
            return Optional.empty();
        }
        long expected = version.asLong();
        if (edit.path("kind").isObject()) {
            String name = edit.get("kind").path("kind").asText();
            return Optional.of(
                    parsePut(new RowTarget(RowTarget.Type.KIND, name, expected), edit.get("kind"), mistakes));
        }
        if (edit.path("team").isObject()) {
            String name = edit.get("team").path("team").asText();
            return Optional.of(
                    parsePut(new RowTarget(RowTarget.Type.TEAM, name, expected), edit.get("team"), mistakes));
        }
        for (RowTarget.Type type : RowTarget.Type.values()) {
            String name = edit.path(type.deletionMember()).asText();
            if (!name.isBlank()) {
                return Optional.of(deletionEdit(new RowTarget(type, name, expected)));
            }
        }
        mistakes.add(new RowError(place, "", "one of kind, team, deleteKind or deleteTeam is needed"));
        return Optional.empty();
    }

    private static RowEdit parsePut(RowTarget target, JsonNode row, List<RowError> mistakes) {
        return switch (target.type()) {
            case KIND ->
                new RowEdit.PutKind(target.expectedVersion(), RowParser.parseKind(target.name(), row, mistakes));
            case TEAM ->
                new RowEdit.PutTeam(target.expectedVersion(), RowParser.parseTeam(target.name(), row, mistakes));
        };
    }

    private static RowEdit deletionEdit(RowTarget target) {
        return switch (target.type()) {
            case KIND -> new RowEdit.DeleteKind(target.expectedVersion(), target.name());
            case TEAM -> new RowEdit.DeleteTeam(target.expectedVersion(), target.name());
        };
    }

    private Optional<JsonNode> parseObject(byte[] body) {
        try {
            return Optional.ofNullable(mapper.readTree(body)).filter(JsonNode::isObject);
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
