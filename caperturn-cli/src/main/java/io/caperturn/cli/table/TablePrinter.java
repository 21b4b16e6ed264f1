package io.caperturn.cli.table;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Printer of aligned columns. */
public final class TablePrinter {
    private static final String GAP = "  ";

    private TablePrinter() {}

    /**
     * Prints the rows of a table.
     *
     * @param table the table
     * @param output where to
     */
    public static void print(TableRows table, PrintStream output) {
        output.println("version " + table.version());
        List<String> header = new ArrayList<>(List.of("row"));
        for (Column column : Column.values()) {
            header.add(column.label());
        }
        header.add("rowVersion");
        List<List<String>> lines = new ArrayList<>(List.of(header));
        for (TableRow row : table.rows().values()) {
            List<String> cells = new ArrayList<>(List.of(row.name().toString()));
            for (Column column : Column.values()) {
                cells.add(column.text(row));
            }
            cells.add(Long.toString(row.version()));
            lines.add(cells);
        }
        print(lines, output);
    }

    /**
     * Prints lines of cells with aligned columns; empty cells are shown as a hyphen.
     *
     * @param lines the lines, each with the same number of cells
     * @param output where to
     */
    public static void print(List<List<String>> lines, PrintStream output) {
        if (lines.isEmpty()) {
            return;
        }
        int[] widths = new int[lines.getFirst().size()];
        for (List<String> line : lines) {
            for (int index = 0; index < widths.length; index++) {
                widths[index] = Math.max(widths[index], shown(line.get(index)).length());
            }
        }
        for (List<String> line : lines) {
            StringBuilder text = new StringBuilder();
            for (int index = 0; index < widths.length; index++) {
                String cell = shown(line.get(index));
                text.append(cell)
                        .append(" ".repeat(widths[index] - cell.length()))
                        .append(GAP);
            }
            output.println(text.toString().stripTrailing());
        }
    }

    private static String shown(String cell) {
        return cell.isEmpty() ? "-" : cell;
    }
}
