package io.caperturn.kernel;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests of the quoting of values in log lines. */
class EventLineTest {
    /** Returns pairs of a value and its expected form in the line. */
    static Stream<Arguments> values() {
        return Stream.of(
                Arguments.of("plain", "plain"),
                Arguments.of("team/key#1.2", "team/key#1.2"),
                Arguments.of("", "\"\""),
                Arguments.of(null, "null"),
                Arguments.of("two words", "\"two words\""),
                Arguments.of("a=b", "\"a=b\""),
                Arguments.of("say \"so\"", "\"say \\\"so\\\"\""),
                Arguments.of("back\\slash", "back\\slash"),
                Arguments.of("back \\slash", "\"back \\\\slash\""),
                Arguments.of("line\nbreak\r\t", "\"line\\nbreak\\r\\t\""),
                Arguments.of("bell\u0007", "\"bell?\""),
                Arguments.of("delete\u007f", "\"delete?\""),
                Arguments.of("next\u0085line", "\"next?line\""),
                Arguments.of("line\u2028separator", "\"line?separator\""));
    }

    @ParameterizedTest
    @MethodSource("values")
    void quotesValuesSoThatTheLineCanBeParsed(Object value, String expectedForm) {
        assertEquals(
                "event=thing-done key=" + expectedForm,
                EventLine.of("thing-done").with("key", value).toString());
    }
}
