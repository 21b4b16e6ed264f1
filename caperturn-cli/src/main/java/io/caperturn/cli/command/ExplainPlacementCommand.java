package io.caperturn.cli.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Command {@code explain-placement}, which asks an entry (process that accepts jobs) of the users' platform where the
 * tasks of a job would go now and why, or why it would be refused. Nothing is submitted.
 */
@Parameters(commandDescription = "Show where the tasks of a job would go now and why; submits nothing")
public final class ExplainPlacementCommand implements Command {
    /** Name of the file that stands for standard input. */
    public static final String STANDARD_INPUT = "-";

    @ParametersDelegate
    private final CommonOptions common = new CommonOptions();

    @ParametersDelegate
    private final EntryAddressOption entryAddresses = new EntryAddressOption();

    @Parameter(names = "--queue", description = "Name of the queue")
    private String queue;

    @Parameter(names = "--route", description = "HOST/PATH of a request, in place of --queue")
    private String route;

    @Parameter(names = "--file", description = "JSON file with the job as callers submit it; - for standard input")
    private String file;

    @Parameter(names = "--tasks", description = "Number of tasks of a job of one step, in place of --file")
    private Long tasks;

    @Parameter(names = "--processor-millis", description = "Processor that each task needs, in thousandths of a core")
    private Long processorMillis;

    @Parameter(names = "--memory-megabytes", description = "Memory that each task needs")
    private Long memoryMegabytes;

    @Parameter(names = "--accelerators", description = "Accelerators that each task needs")
    private Long accelerators;

    @Parameter(names = "--estimated-milliseconds", description = "Estimated duration of each task")
    private Long estimatedMilliseconds;

    @Parameter(names = "--label", description = "Label that the upstream must have")
    private String label;

    @Parameter(names = "--stored", description = "The job is stored; otherwise its caller waits for its end")
    private boolean stored;

    @Parameter(names = "--json", description = "Print the answer of the entry as JSON")
    private boolean json;

    @Override
    public CommonOptions common() {
        return common;
    }

    @Override
    public List<String> findMistakes() {
        List<String> mistakes = new ArrayList<>(entryAddresses.findMistakes());
        if ((queue == null) == (route == null)) {
            mistakes.add("either --queue or --route is required");
        }
        if (route != null && !route.matches("[^/]+/.*")) {
            mistakes.add("--route is HOST/PATH, not " + route);
        }
        if ((file == null) == (tasks == null)) {
            mistakes.add("either --file or --tasks is required");
        }
        boolean anySize = stored
                || Stream.of(processorMillis, memoryMegabytes, accelerators, estimatedMilliseconds, label)
                        .anyMatch(Objects::nonNull);
        if (file != null && anySize) {
            mistakes.add("--file can't be combined with the size of a job");
        }
        if (tasks != null && tasks < 1) {
            mistakes.add("--tasks must be at least 1");
        }
        size().forEach((name, value) -> {
            if (value instanceof Long number && number < 0) {
                mistakes.add("the option for " + name + " must not be negative");
            }
        });
        return mistakes;
    }

    /**
     * Returns the entries to ask in turn.
     *
     * @return the addresses at which they serve metrics, {@code host:port}
     */
    public List<String> entries() {
        return entryAddresses.addresses();
    }

    /**
     * Returns what names the queue in a request.
     *
     * @return values by the names of the request's fields
     */
    public Map<String, String> queueFields() {
        if (queue != null) {
            return Map.of("queue", queue);
        }
        int slash = route.indexOf('/');
        return Map.of("host", route.substring(0, slash), "path", route.substring(slash));
    }

    /**
     * Returns the file with the job.
     *
     * @return the file, {@link #STANDARD_INPUT} for standard input, or empty if a size is given
     */
    public Optional<String> file() {
        return Optional.ofNullable(file);
    }

    /**
     * Returns the size of the job, if no file is given.
     *
     * @return values by the names of the request's fields
     */
    public Map<String, Object> size() {
        Map<String, Object> size = new LinkedHashMap<>();
        putIfPresent(size, "tasks", tasks);
        putIfPresent(size, "processorMillis", processorMillis);
        putIfPresent(size, "memoryMegabytes", memoryMegabytes);
        putIfPresent(size, "accelerators", accelerators);
        putIfPresent(size, "estimatedMilliseconds", estimatedMilliseconds);
        putIfPresent(size, "label", label);
        size.put("stored", stored);
        return size;
    }

    private static void putIfPresent(Map<String, Object> map, String name, Object value) {
        if (value != null) {
            map.put(name, value);
        }
    }

    /**
     * Returns whether the answer is printed as JSON.
     *
     * @return true if so
     */
    public boolean isJson() {
        return json;
    }
}
