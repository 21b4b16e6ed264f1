package io.caperturn.cli.table;

import java.util.ArrayList;
import java.util.List;

/** Comma-separated values as of RFC 4180: cells with commas, quotes or line ends stand in quotes. */
final class Csv {
    private static final char QUOTE = '"';

    private final String text;
    private final List<Line> lines = new ArrayList<>();
    private final StringBuilder cell = new StringBuilder();
    private List<String> cells = new ArrayList<>();
    private int number = 1;
    private int position;

    private Csv(String text) {
        this.text = text;
    }

    /**
     * One record.
     *
     * @param number the line of the file in which it begins, from 1
     * @param cells its cells
     */
    record Line(int number, List<String> cells) {
        Line {
            cells = List.copyOf(cells);
        }
    }

    /** Reads all records but blank ones; a quote that is never closed ends with the text. */
    static List<Line> read(String text) {
        Csv csv = new Csv(text);
        csv.readAll();
        return csv.lines;
    }

    static String write(List<String> cells) {
        return String.join(",", cells.stream().map(Csv::quote).toList());
    }

    private static String quote(String cell) {
        boolean plain = cell.chars().noneMatch(c -> c == ',' || c == QUOTE || c == '\n' || c == '\r');
        return plain ? cell : QUOTE + cell.replace("\"", "\"\"") + QUOTE;
    }

    private void readAll() {
        int line = 1;
        while (position < text.length()) {
            char next = text.charAt(position++);
            switch (next) {
                case QUOTE -> readQuoted();
                case ',' -> endCell();
                case '\r' -> {
                    // A line ends with the line feed that follows.
                }
                case '\n' -> {
                    endLine(line);
                    line = ++number;
                }
                default -> cell.append(next);
            }
        }
        endLine(line);
    }

    private void readQuoted() {
        while (position < text.length()) {
            char next = text.charAt(position++);
            boolean doubled = next == QUOTE && position < text.length() && text.charAt(position) == QUOTE;
            if (next == QUOTE && !doubled) {
                return;
            }
            if (doubled) {
                position++;
            }
            if (next == '\n') {
                number++;
            }
            cell.append(next);
        }
    }

    private void endCell() {
        cells.add(cell.toString());
        cell.setLength(0);
    }

    private void endLine(int line) {
        endCell();
        if (cells.stream().anyMatch(text -> !text.isBlank())) {
            lines.add(new Line(line, cells));
        }
        cells = new ArrayList<>();
    }
}
