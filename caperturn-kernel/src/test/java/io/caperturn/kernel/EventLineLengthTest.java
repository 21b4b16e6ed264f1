package io.caperturn.kernel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that a value of any length, which may come from another writer, makes no line of that length. */
class EventLineLengthTest {
    @ParameterizedTest
    @CsvSource({"a, 4096, false", "a, 4097, true", "a, 500000, true", "' ', 500000, true", "'\"', 4096, false"})
    void longValueIsCutOff(String character, int length, boolean cut) {
        String line = EventLine.of("event")
                .with("key", character.repeat(length))
                .with("last", 1)
                .toString();
        long kept = line.chars().filter(c -> c == character.charAt(0)).count();
        assertEquals(cut, line.contains("...(" + length + ")"), () -> line.substring(line.length() - 40));
        assertTrue(line.length() < 3 * 4096, () -> "length " + line.length());
        assertTrue(kept >= Math.min(length, 4096), () -> "kept " + kept);
        assertTrue(line.endsWith(" last=1"));
    }
}
