import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Runner of a case. It exits with 11 if the rule was broken, with 10 if it held, and with 12 if the case could not run;
 * {@code run-case.sh} turns these into the statuses of a script, so that a failed start of the runtime is none of them.
 * The variable {@code TROUBLE} with the value 0 leaves out the disruption; {@code KEEP_LOGS} with the value 1 keeps the
 * logs of the processes in the temporary folder.
 */
final class ReviewCase {
    private static final int HELD = 10;
    private static final int BROKEN = 11;
    private static final int NOT_RUN = 12;

    private ReviewCase() {}

    /** Body of a case. */
    interface Body {
        /** Returns the breaches of the rule that were seen; empty if the rule held. */
        List<String> run(RunLog log, boolean trouble) throws Exception;
    }

    /** Runs a case; its folder is the first argument. */
    static void main(String[] arguments, Body body) {
        int status;
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        try (RunLog log = new RunLog(Path.of(arguments[0], "record.txt"))) {
            log.note("disruption: " + (trouble ? "yes" : "no"));
            try {
                List<String> breaches = body.run(log, trouble);
                breaches.forEach(breach -> log.note("BROKEN " + breach));
                log.note(breaches.isEmpty() ? "result: the rule held" : "result: the rule was broken");
                breaches.stream().limit(5).forEach(System.out::println);
                System.out.println(breaches.isEmpty() ? "held" : "broken: " + breaches.size());
                status = breaches.isEmpty() ? HELD : BROKEN;
            } catch (Exception e) {
                log.note("result: the case could not run: " + e);
                System.out.println("could not run: " + e);
                status = NOT_RUN;
            }
        } catch (IOException e) {
            System.out.println("could not run: " + e);
            status = NOT_RUN;
        }
        Runtime.getRuntime().halt(status);
    }

    /** Ends a deployment, and removes its temporary folder. */
    static void close(Deployment deployment) throws IOException {
        deployment.close();
        if ("1".equals(System.getenv("KEEP_LOGS"))) {
            System.out.println("logs: " + deployment.folder());
            return;
        }
        try (Stream<Path> files = Files.walk(deployment.folder())) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
