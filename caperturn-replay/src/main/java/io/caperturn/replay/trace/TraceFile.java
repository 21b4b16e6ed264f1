package io.caperturn.replay.trace;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Reads and writes traces as JSON lines: first the header, then one event on each line, in the order of time. */
public final class TraceFile {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .defaultPropertyInclusion(
                    JsonInclude.Value.construct(JsonInclude.Include.NON_NULL, JsonInclude.Include.USE_DEFAULTS))
            .build();

    private TraceFile() {}

    /**
     * Reads a trace.
     *
     * @param file the file
     * @return the trace
     * @throws TraceFormatException if a line is malformed
     * @throws IOException if the file can't be read
     */
    public static Trace read(Path file) throws TraceFormatException, IOException {
        List<String> lines = Files.readAllLines(file);
        if (lines.isEmpty()) {
            throw new TraceFormatException("trace file is empty", null);
        }
        Trace.Header header = parseLine(lines.get(0), 1, Trace.Header.class);
        List<TraceEvent> events = new ArrayList<>();
        for (int line = 1; line < lines.size(); line++) {
            if (!lines.get(line).isBlank()) {
                events.add(parseLine(lines.get(line), line + 1, TraceEvent.class));
            }
        }
        return new Trace(header, events);
    }

    /**
     * Writes a trace.
     *
     * @param trace the trace
     * @param file the file to write
     * @throws IOException if the file can't be written
     */
    public static void write(Trace trace, Path file) throws IOException {
        List<String> lines = new ArrayList<>();
        lines.add(MAPPER.writeValueAsString(trace.header()));
        for (TraceEvent event : trace.events()) {
            lines.add(MAPPER.writerFor(TraceEvent.class).writeValueAsString(event));
        }
        Files.write(file, lines);
    }

    private static <T> T parseLine(String line, int number, Class<T> type) throws TraceFormatException {
        try {
            return MAPPER.readValue(line, type);
        } catch (JsonProcessingException malformed) {
            throw new TraceFormatException("line " + number + ": " + malformed.getOriginalMessage(), malformed);
        }
    }
}
