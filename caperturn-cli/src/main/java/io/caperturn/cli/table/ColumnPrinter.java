package io.caperturn.cli.table;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Printer of lines of text with aligned columns. */
public final class ColumnPrinter {
    private static final String COLUMN_SEPARATOR = "  ";

    private ColumnPrinter() {}

    /**
     * Prints the version and the rows of the operators' table of weights and limits.
     *
     * @param table the table
     * @param output the stream to print to
     */
    public static void printTable(LimitTable table, PrintStream output) {
        output.println("version " + table.version());
        List<String> header = new ArrayList<>(List.of("row"));
        for (TableColumn column : TableColumn.values()) {
            header.add(column.label());
        }
        header.add("rowVersion");
        List<List<String>> lines = new ArrayList<>(List.of(header));
        for (LimitTableRow row : table.rows().values()) {
            List<String> cells = new ArrayList<>(List.of(row.identity().toString()));
            for (TableColumn column : TableColumn.values()) {
                cells.add(column.text(row));
            }
            cells.add(Long.toString(row.version()));
            lines.add(cells);
        }
        printLines(lines, output);
    }

    /**
     * Prints lines of cells with aligned columns; empty cells are shown as a hyphen.
     *
     * @param lines the lines, each with the same number of cells
     * @param output the stream to print to
     */
    public static void printLines(List<List<String>> lines, PrintStream output) {
        if (lines.isEmpty()) {
            return;
        }
        int[] widths = new int[lines.getFirst().size()];
        for (List<String> line : lines) {
            for (int index = 0; index < widths.length; index++) {
                widths[index] =
                        Math.max(widths[index], displayText(line.get(index)).length());
            }
        }
        for (List<String> line : lines) {
            StringBuilder text = new StringBuilder();
            for (int index = 0; index < widths.length; index++) {
                String cell = displayText(line.get(index));
                text.append(cell)
                        .append(" ".repeat(widths[index] - cell.length()))
                        .append(COLUMN_SEPARATOR);
            }
            output.println(text.toString().stripTrailing());
        }
    }

    private static String displayText(String cell) {
        return cell.isEmpty() ? "-" : cell;
    }
}
