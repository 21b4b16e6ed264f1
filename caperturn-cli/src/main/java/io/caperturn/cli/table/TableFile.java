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

/** Rows of the table as a file holds them, CSV or JSON. */
public final class TableFile {
    private static final String ROW = "row";
    private static final String NAME = "name";
    private static final String EXPLICIT_ZERO = "explicitZero";
    private static final String ROW_VERSION = "rowVersion";
    private static final Set<String> OTHER_COLUMNS = Set.of(ROW, NAME, EXPLICIT_ZERO, ROW_VERSION);
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private TableFile() {}

    /** What came of reading a file. */
    public sealed interface Result {
        /**
         * The file was read; its values are not yet checked.
         *
         * @param rows its rows
         */
        record Read(List<RowCells> rows) implements Result {}

        /**
         * The file can't be read.
         *
         * @param mistakes every mistake, at least one
         */
        record Wrong(List<TableMistake> mistakes) implements Result {}
    }

    /**
     * Reads a file's text.
     *
     * @param text the text; JSON if it begins with a brace, CSV otherwise
     * @return the rows, or every mistake
     */
    public static Result read(String text) {
        List<TableMistake> mistakes = new ArrayList<>();
        List<RowCells> rows = text.stripLeading().startsWith("{") ? readJson(text, mistakes) : readCsv(text, mistakes);
        return mistakes.isEmpty() ? new Result.Read(rows) : new Result.Wrong(mistakes);
    }

    /**
     * Writes a table as CSV.
     *
     * @param table the table
     * @return the text, with a header
     */
    public static String writeCsv(TableRows table) {
        List<String> header = new ArrayList<>(List.of(ROW, NAME));
        for (Column column : Column.values()) {
            header.add(column.label());
        }
        header.addAll(List.of(EXPLICIT_ZERO, ROW_VERSION));
        StringBuilder text = new StringBuilder(Csv.write(header)).append('\n');
        for (TableRow row : table.rows().values()) {
            List<String> cells = new ArrayList<>(
                    List.of(row.name().type().label(), row.name().name()));
            for (Column column : Column.values()) {
                cells.add(column.text(row));
            }
            cells.add(row.stops() ? "true" : "");
            cells.add(Long.toString(row.version()));
            text.append(Csv.write(cells)).append('\n');
        }
        return text.toString();
    }

    /**
     * Writes a table as JSON.
     *
     * @param table the table
     * @return the text
     */
    public static String writeJson(TableRows table) {
        return TableJson.write(table).toPrettyString() + "\n";
    }

    private static List<RowCells> readCsv(String text, List<TableMistake> mistakes) {
        List<Csv.Line> lines = Csv.read(text);
        if (lines.isEmpty()) {
            mistakes.add(new TableMistake("file", "", "empty; a header is needed"));
            return List.of();
        }
        List<String> header =
                lines.getFirst().cells().stream().map(String::trim).toList();
        header.stream()
                .filter(name ->
                        !OTHER_COLUMNS.contains(name) && Column.find(name).isEmpty())
                .forEach(name -> mistakes.add(new TableMistake("header", name, "unknown column")));
        for (String needed : List.of(ROW, NAME)) {
            if (!header.contains(needed)) {
                mistakes.add(new TableMistake("header", needed, "the column is needed"));
            }
        }
        if (!mistakes.isEmpty()) {
            return List.of();
        }
        return lines.stream()
                .skip(1)
                .flatMap(line -> readLine(header, line, mistakes).stream())
                .toList();
    }

    private static Optional<RowCells> readLine(List<String> header, Csv.Line line, List<TableMistake> mistakes) {
        String place = "line " + line.number();
        if (line.cells().size() != header.size()) {
            mistakes.add(new TableMistake(place, "", line.cells().size() + " cells for " + header.size() + " columns"));
            return Optional.empty();
        }
        Map<Column, String> cells = new EnumMap<>(Column.class);
        for (int index = 0; index < header.size(); index++) {
            String cell = line.cells().get(index);
            Column.find(header.get(index)).ifPresent(column -> cells.put(column, cell));
        }
        String type = cell(header, line, ROW);
        Optional<RowName> name = RowName.Type.find(type).map(found -> new RowName(found, cell(header, line, NAME)));
        if (name.isEmpty()) {
            mistakes.add(new TableMistake(place, ROW, type + "; allowed: kind or team"));
            return Optional.empty();
        }
        return rowCells(
                place + ", " + name.get(),
                name.get(),
                cells,
                cell(header, line, EXPLICIT_ZERO),
                cell(header, line, ROW_VERSION),
                mistakes);
    }

    private static String cell(List<String> header, Csv.Line line, String column) {
        int index = header.indexOf(column);
        return index < 0 ? "" : line.cells().get(index).trim();
    }

    private static List<RowCells> readJson(String text, List<TableMistake> mistakes) {
        JsonNode table;
        try {
            table = MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            mistakes.add(new TableMistake("file", "", "no JSON: " + e.getOriginalMessage()));
            return List.of();
        }
        List<RowCells> rows = new ArrayList<>();
        for (RowName.Type type : RowName.Type.values()) {
            table.path(type.collection())
                    .forEach(row -> readObject(type, row, mistakes).ifPresent(rows::add));
        }
        return rows;
    }

    private static Optional<RowCells> readObject(RowName.Type type, JsonNode row, List<TableMistake> mistakes) {
        RowName name = new RowName(type, row.path(type.label()).asText());
        Map<Column, String> cells = new EnumMap<>(Column.class);
        Set<String> known = Set.of(type.label(), "limits", EXPLICIT_ZERO, ROW_VERSION);
        row.properties().forEach(member -> {
            Optional<Column> column = Column.find(member.getKey());
            column.ifPresent(found -> cells.put(found, member.getValue().asText()));
            if (column.isEmpty() && !known.contains(member.getKey())) {
                mistakes.add(new TableMistake(name.toString(), member.getKey(), "unknown column"));
            }
        });
        row.path("limits")
                .properties()
                .forEach(member -> Column.find(member.getKey())
                        .ifPresentOrElse(
                                column -> cells.put(column, member.getValue().asText()),
                                () -> mistakes.add(new TableMistake(
                                        name.toString(), "limits." + member.getKey(), "unknown column"))));
        return rowCells(
                name.toString(),
                name,
                cells,
                row.path(EXPLICIT_ZERO).asText(),
                row.path(ROW_VERSION).asText(),
                mistakes);
    }

    private static Optional<RowCells> rowCells(
            String place,
            RowName name,
            Map<Column, String> cells,
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
        return Optional.of(new RowCells(place, name, cells, Boolean.parseBoolean(explicitZero), version));
    }
}
