package io.caperturn.cli.table;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TableFileTest {
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "'' | a header is required",
                "row,name,colour\\n | header, column colour: unknown column",
                "row,weight\\n | header, column name: the column is required",
                "row,name\\nkind\\n | line 2: 1 cells for 2 columns",
                "row,name\\n\\nupstream,a\\n | line 3, column row: upstream; allowed: kind or team",
                "row,name,rowVersion\\nkind,a,new\\n | line 2, kinds/a, column rowVersion: new",
                "row,name,explicitZero\\nkind,a,yes\\n | line 2, kinds/a, column explicitZero: yes",
                "{ | not valid JSON",
                "{\"kinds\":[{\"kind\":\"a\",\"colour\":1}]} | kinds/a, column colour: unknown column",
                "{\"teams\":[{\"team\":\"a\",\"limits\":{\"speed\":1}}]} | teams/a, column limits.speed: unknown column"
            })
    void mistakeNamesItsPlaceInFile(String text, String expected) {
        TableFile.Result result = TableFile.read(text.replace("\\n", "\n"));
        String mistake = assertInstanceOf(TableFile.Result.Invalid.class, result)
                .mistakes()
                .getFirst()
                .toString();
        assertTrue(mistake.contains(expected), mistake);
    }

    @Test
    void quotedCellsKeepCommasQuotesAndLineEnds() {
        List<String> cells = List.of("a,b", "say \"x\"", "two\nlines", "");
        assertEquals(List.of(new Csv.Row(/* lineNumber= */ 1, cells)), Csv.read(Csv.writeRow(cells) + "\r\n"));
    }

    @Test
    void lineNumbersCountLinesWithinQuotes() {
        assertEquals(3, Csv.read("\"a\nb\",c\nd,e\n").getLast().lineNumber());
    }
}
