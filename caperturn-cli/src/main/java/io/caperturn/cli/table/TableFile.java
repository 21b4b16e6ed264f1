package io.caperturn.cli.table;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/** Reader and writer of files that hold rows of the operators' table of weights and limits, in CSV or JSON. */
public final class TableFile {
    /** Column with the type of the row, {@code kind} or {@code team}. */
    private static final String ROW_TYPE = "row";

    private static final String NAME = "name";
    /** Column by which the operator confirms a limit of 0. */
    private static final String EXPLICIT_ZERO = "explicitZero";
    /** Column with the version that the row is expected to have in the table. */
    private static final String ROW_VERSION = "rowVersion";

    private static final Set<String> COLUMNS_BESIDE_VALUES = Set.of(ROW_TYPE, NAME, EXPLICIT_ZERO, ROW_VERSION);

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private TableFile() {}

    /** Result of reading a file. */
    public sealed interface Result {
        /**
         * The file could be parsed; its values are not checked yet.
         *
         * @param rows the rows of the file
         */
        record Parsed(List<UncheckedRow> rows) implements Result {}

        /**
         * The file can't be parsed.
         *
         * @param mistakes every mistake, at least one
         */
        record Invalid(List<TableMistake> mistakes) implements Result {}
    }

    /**
     * Parses the content of a file.
     *
     * @param text the content, JSON if it begins with a brace, CSV otherwise
     * @return the rows, or every mistake
     */
    public static Result read(String text) {
        List<TableMistake> mistakes = new ArrayList<>();
        List<UncheckedRow> rows =
                text.stripLeading().startsWith("{") ? readJson(text, mistakes) : readCsv(text, mistakes);
        return mistakes.isEmpty() ? new Result.Parsed(rows) : new Result.Invalid(mistakes);
    }

    /**
     * Writes a table as CSV.
     *
     * @param table the table
     * @return the text, with a header line
     */
    public static String writeCsv(LimitTable table) {
        List<String> header = new ArrayList<>(List.of(ROW_TYPE, NAME));
        for (TableColumn column : TableColumn.values()) {
            header.add(column.label());
        }
        header.addAll(List.of(EXPLICIT_ZERO, ROW_VERSION));
        StringBuilder text = new StringBuilder(Csv.writeRow(header)).append('\n');
        for (LimitTableRow row : table.rows().values()) {
            List<String> cells = new ArrayList<>(
                    List.of(row.identity().type().label(), row.identity().name()));
            for (TableColumn column : TableColumn.values()) {
                cells.add(column.text(row));
            }
            cells.add(row.hasZeroLimit() ? "true" : "");
            cells.add(Long.toString(row.version()));
            text.append(Csv.writeRow(cells)).append('\n');
        }
        return text.toString();
    }

    /**
     * Writes a table as JSON.
     *
     * @param table the table
     * @return the text
     */
    public static String writeJson(LimitTable table) {
        return TableJsonCodec.writeTable(table).toPrettyString() + "\n";
    }

    private static List<UncheckedRow> readCsv(String text, List<TableMistake> mistakes) {
        List<Csv.Row> csvRows = Csv.read(text);
        if (csvRows.isEmpty()) {
            mistakes.add(new TableMistake("file", /* column= */ "", "empty; a header is required"));
            return List.of();
        }
        List<String> header =
                csvRows.getFirst().cells().stream().map(String::trim).toList();
        header.stream()
                .filter(name -> !COLUMNS_BESIDE_VALUES.contains(name)
                        && TableColumn.findByLabel(name).isEmpty())
                .forEach(name -> mistakes.add(new TableMistake("header", name, "unknown column")));
        for (String required : List.of(ROW_TYPE, NAME)) {
            if (!header.contains(required)) {
                mistakes.add(new TableMistake("header", required, "the column is required"));
            }
        }
        if (!mistakes.isEmpty()) {
            return List.of();
        }
        return csvRows.stream()
                .skip(1)
                .flatMap(row -> readCsvRow(header, row, mistakes).stream())
                .toList();
    }

    private static Optional<UncheckedRow> readCsvRow(List<String> header, Csv.Row row, List<TableMistake> mistakes) {
        String place = "line " + row.lineNumber();
        if (row.cells().size() != header.size()) {
            mistakes.add(new TableMistake(place, "", row.cells().size() + " cells for " + header.size() + " columns"));
            return Optional.empty();
        }
        Map<TableColumn, String> cells = new EnumMap<>(TableColumn.class);
        for (int index = 0; index < header.size(); index++) {
            String cell = row.cells().get(index);
            TableColumn.findByLabel(header.get(index)).ifPresent(column -> cells.put(column, cell));
        }
        String type = findCell(header, row, ROW_TYPE);
        Optional<RowIdentity> identity =
                RowIdentity.Type.findByLabel(type).map(found -> new RowIdentity(found, findCell(header, row, NAME)));
        if (identity.isEmpty()) {
            mistakes.add(new TableMistake(place, ROW_TYPE, type + "; allowed: kind or team"));
            return Optional.empty();
        }
        return createRow(
                place + ", " + identity.get(),
                identity.get(),
                cells,
                findCell(header, row, EXPLICIT_ZERO),
                findCell(header, row, ROW_VERSION),
                mistakes);
    }

    private static String findCell(List<String> header, Csv.Row row, String column) {
        int index = header.indexOf(column);
        return index < 0 ? "" : row.cells().get(index).trim();
    }

    private static List<UncheckedRow> readJson(String text, List<TableMistake> mistakes) {
        JsonNode table;
        try {
            table = MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            mistakes.add(new TableMistake("file", "", "not valid JSON: " + e.getOriginalMessage()));
            return List.of();
        }
        List<UncheckedRow> rows = new ArrayList<>();
        for (RowIdentity.Type type : RowIdentity.Type.values()) {
            table.path(type.pluralLabel())
                    .forEach(row -> readJsonRow(type, row, mistakes).ifPresent(rows::add));
        }
        return rows;
    }

    private static Optional<UncheckedRow> readJsonRow(
            RowIdentity.Type type, JsonNode row, List<TableMistake> mistakes) {
        RowIdentity identity = new RowIdentity(type, row.path(type.label()).asText());
        Map<TableColumn, String> cells = new EnumMap<>(TableColumn.class);
        Set<String> otherMembers = Set.of(type.label(), "limits", EXPLICIT_ZERO, ROW_VERSION);
        row.properties().forEach(member -> {
            Optional<TableColumn> column = TableColumn.findByLabel(member.getKey());
            column.ifPresent(found -> cells.put(found, member.getValue().asText()));
            if (column.isEmpty() && !otherMembers.contains(member.getKey())) {
                mistakes.add(new TableMistake(identity.toString(), member.getKey(), "unknown column"));
            }
        });
        row.path("limits")
                .properties()
                .forEach(member -> TableColumn.findByLabel(member.getKey())
                        .ifPresentOrElse(
                                column -> cells.put(column, member.getValue().asText()),
                                () -> mistakes.add(new TableMistake(
                                        identity.toString(), "limits." + member.getKey(), "unknown column"))));
        return createRow(
                identity.toString(),
                identity,
                cells,
                row.path(EXPLICIT_ZERO).asText(),
                row.path(ROW_VERSION).asText(),
                mistakes);
    }

    private static Optional<UncheckedRow> createRow(
            String place,
            RowIdentity identity,
            Map<TableColumn, String> cells,
            String explicitZero,
            String rowVersion,
            List<TableMistake> mistakes) {
        if (!rowVersion.isEmpty() && !rowVersion.matches("[0-9]{1,18}")) {
            mistakes.add(new TableMistake(place, ROW_VERSION, rowVersion + "; allowed: a whole number, or empty"));
            return Optional.empty();
        }
        if (!Set.of("", "true", "false").contains(explicitZero)) {
            mistakes.add(new TableMistake(place, EXPLICIT_ZERO, explicitZero + "; allowed: true, false or empty"));
            return Optional.empty();
        }
        OptionalLong version =
                rowVersion.isEmpty() ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(rowVersion));
        return Optional.of(new UncheckedRow(place, identity, cells, Boolean.parseBoolean(explicitZero), version));
    }
}
