package io.caperturn.cli.table;

import java.util.ArrayList;
import java.util.List;

/** Reader and writer of comma-separated values (RFC 4180): cells with commas, quotes or line ends are quoted. */
final class Csv {
    private static final char QUOTE = '"';

    private final String text;
    private final List<Row> rows = new ArrayList<>();
    private final StringBuilder currentCell = new StringBuilder();
    private List<String> currentCells = new ArrayList<>();
    private int lineNumber = 1;
    private int position;

    private Csv(String text) {
        this.text = text;
    }

    /**
     * Row of a CSV file.
     *
     * @param lineNumber the number of the line on which the row begins, from 1
     * @param cells the cells of the row
     */
    record Row(int lineNumber, List<String> cells) {
        Row {
            cells = List.copyOf(cells);
        }
    }

    /** Reads all rows except blank ones; an unclosed quote extends to the end of the text. */
    static List<Row> read(String text) {
        Csv csv = new Csv(text);
        csv.readAll();
        return csv.rows;
    }

    /** Returns one row as text, without a line end. */
    static String writeRow(List<String> cells) {
        return String.join(",", cells.stream().map(Csv::quote).toList());
    }

    private static String quote(String cell) {
        boolean isPlain = cell.chars().noneMatch(c -> c == ',' || c == QUOTE || c == '\n' || c == '\r');
        return isPlain ? cell : QUOTE + cell.replace("\"", "\"\"") + QUOTE;
    }

    private void readAll() {
        int rowStartLine = 1;
        while (position < text.length()) {
            char next = text.charAt(position++);
            switch (next) {
                case QUOTE -> readQuoted();
                case ',' -> endCell();
                case '\r' -> {
                    // The line feed that follows ends the row.
                }
                case '\n' -> {
                    endRow(rowStartLine);
                    rowStartLine = ++lineNumber;
                }
                default -> currentCell.append(next);
            }
        }
        endRow(rowStartLine);
    }

    private void readQuoted() {
        while (position < text.length()) {
            char next = text.charAt(position++);
            boolean isEscapedQuote = next == QUOTE && position < text.length() && text.charAt(position) == QUOTE;
            if (next == QUOTE && !isEscapedQuote) {
                return;
            }
            if (isEscapedQuote) {
                position++;
            }
            if (next == '\n') {
                lineNumber++;
            }
            currentCell.append(next);
        }
    }

    private void endCell() {
        currentCells.add(currentCell.toString());
        currentCell.setLength(0);
    }

    private void endRow(int rowStartLine) {
        endCell();
        if (currentCells.stream().anyMatch(text -> !text.isBlank())) {
            rows.add(new Row(rowStartLine, currentCells));
        }
        currentCells = new ArrayList<>();
    }
}
