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

/** Parser of the request bodies that change the operators' table of weights and limits. */
final class ChangeParser {
    private static final int MAXIMUM_CHANGE_ID_LENGTH = 200;

    private final ObjectMapper mapper = JsonMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();

    /**
     * Parses a change of any number of rows.
     *
     * @param body the change as JSON text
     * @return the change, or its errors
     */
    ChangeParseResult parseChange(byte[] body) {
        Optional<JsonNode> root = parseObject(body);
        if (root.isEmpty() || !root.get().path("edits").isArray()) {
            return new ChangeParseResult.Malformed("the body must be a JSON object with changeId, author and edits");
        }
        List<RowEdit> edits = new ArrayList<>();
        List<RowError> errors = new ArrayList<>();
        JsonNode editNodes = root.get().get("edits");
        for (int index = 0; index < editNodes.size(); index++) {
            parseEdit("edits[" + index + "]", editNodes.get(index), errors).ifPresent(edits::add);
        }
        return createResult(
                root.get().path("changeId").asText(),
                root.get().path("author").asText(),
                root.get().path("dryRun").asBoolean(),
                edits,
                errors);
    }

    /**
     * Parses a change of one row.
     *
     * @param target the row and its expected version
     * @param changeId the id of the change
     * @param author the author of the change
     * @param body the row as JSON text
     * @return the change, or its errors
     */
    ChangeParseResult parseRow(RowTarget target, String changeId, String author, byte[] body) {
        Optional<JsonNode> row = parseObject(body);
        if (row.isEmpty()) {
            return new ChangeParseResult.Malformed("the body must be the row as a JSON object");
        }
        List<RowError> errors = new ArrayList<>();
        RowEdit edit = parsePutEdit(target, row.get(), errors);
        return createResult(changeId, author, /* dryRun= */ false, List.of(edit), errors);
    }

    /**
     * Creates a change that deletes one row.
     *
     * @param target the row and its expected version
     * @param changeId the id of the change
     * @param author the author of the change
     * @return the change, or its errors
     */
    ChangeParseResult createDeletionChange(RowTarget target, String changeId, String author) {
        return createResult(
                changeId, author, /* dryRun= */ false, List.of(createDeletionEdit(target)), /* errors= */ List.of());
    }

    private static ChangeParseResult createResult(
            String changeId, String author, boolean dryRun, List<RowEdit> edits, List<RowError> errors) {
        if (changeId.isBlank() || changeId.length() > MAXIMUM_CHANGE_ID_LENGTH) {
            return new ChangeParseResult.Malformed(
                    "the change id must have 1 to " + MAXIMUM_CHANGE_ID_LENGTH + " characters");
        }
        if (author.isBlank()) {
            return new ChangeParseResult.Malformed("the author is missing");
        }
        return errors.isEmpty()
                ? new ChangeParseResult.Valid(new TableChange(changeId, author, edits), dryRun)
                : new ChangeParseResult.InvalidRows(errors);
    }

    private static Optional<RowEdit> parseEdit(String editName, JsonNode edit, List<RowError> errors) {
        JsonNode version = edit.path("expectedVersion");
        if (!version.isIntegralNumber() || version.asLong() < 0) {
            errors.add(new RowError(editName, "expectedVersion", "must be the version of the row, 0 for a new row"));
            return Optional.empty();
        }
        long expected = version.asLong();
        if (edit.path("kind").isObject()) {
            String name = edit.get("kind").path("kind").asText();
            return Optional.of(
                    parsePutEdit(new RowTarget(RowTarget.Type.KIND, name, expected), edit.get("kind"), errors));
        }
        if (edit.path("team").isObject()) {
            String name = edit.get("team").path("team").asText();
            return Optional.of(
                    parsePutEdit(new RowTarget(RowTarget.Type.TEAM, name, expected), edit.get("team"), errors));
        }
        for (RowTarget.Type type : RowTarget.Type.values()) {
            String name = edit.path(type.deletionMember()).asText();
            if (!name.isBlank()) {
                return Optional.of(createDeletionEdit(new RowTarget(type, name, expected)));
            }
        }
        errors.add(new RowError(editName, /* column= */ "", "one of kind, team, deleteKind or deleteTeam is required"));
        return Optional.empty();
    }

    private static RowEdit parsePutEdit(RowTarget target, JsonNode row, List<RowError> errors) {
        return switch (target.type()) {
            case KIND -> new RowEdit.PutKind(target.expectedVersion(), RowParser.parseKind(target.name(), row, errors));
            case TEAM -> new RowEdit.PutTeam(target.expectedVersion(), RowParser.parseTeam(target.name(), row, errors));
        };
    }

    private static RowEdit createDeletionEdit(RowTarget target) {
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
