package io.caperturn.fleet.standin;

import java.nio.file.Path;
import java.util.List;

/** Run of both programs on the stand-ins, during which the runtime records the classes that they load. */
public final class ClassArchiveTrainingRun {
    private static final int JOBS = 30;
    private static final long TASK_MILLISECONDS = 20;

    private ClassArchiveTrainingRun() {}

    /**
     * Runs both programs once and ends them in good order.
     *
     * @param arguments the folder for settings and logs, then the words that start a program, in which {@code ROLE}
     *     stands for its role
     * @throws Exception if a program can't be started or doesn't serve
     */
    public static void main(String[] arguments) throws Exception {
        List<String> command = List.of(arguments).subList(1, arguments.length);
        try (StandInSite site = new StandInSite(Path.of(arguments[0]))) {
            site.addEntry(
                    "entry",
                    command.stream().map(word -> word.replace("ROLE", "entry")).toList());
            site.addSidecar(
                    "sidecar",
                    command.stream()
                            .map(word -> word.replace("ROLE", "sidecar"))
                            .toList(),
                    TASK_MILLISECONDS);
            site.start("entry");
            site.start("sidecar");
            site.awaitService("entry");
            for (int number = 0; number < JOBS; number++) {
                String identity = String.format("%016x", number);
                boolean stored = number % 3 == 0;
                site.post("entry", identity, 2, stored).get();
                if (stored) {
                    site.awaitState("entry", identity, "completed");
                    site.delete("entry", identity);
                }
            }
            site.stopAll();
        }
    }
}
