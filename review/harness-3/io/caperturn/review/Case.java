package io.caperturn.review;

import java.nio.file.Path;

/** One scenario of the review, as a program: {@code Case NAME FOLDER}. */
public final class Case {
    private static final int HELD = 10;
    private static final int BROKEN = 11;
    private static final int NOT_RUN = 12;

    private Case() {}

    /** What a case does; returns whether the rule held. */
    interface Scenario {
        boolean play(EventRecord record, boolean trouble) throws Exception;
    }

    /**
     * Plays a scenario, and exits with 10 if the rule held, 11 if it was broken, and 12 if it could not run: numbers that
     * the Java launcher does not use itself.
     */
    public static void main(String[] arguments) {
        int status = NOT_RUN;
        try (EventRecord record = new EventRecord(Path.of(arguments[1], "record.txt"))) {
            boolean trouble = !"0".equals(System.getenv("TROUBLE"));
            try {
                boolean held = scenario(arguments[0]).play(record, trouble);
                record.add(held ? "the rule held" : "the rule was broken");
                status = held ? HELD : BROKEN;
            } catch (Exception e) {
                record.add("the scenario could not run: %s", e);
                e.printStackTrace();
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(status);
    }

    private static Scenario scenario(String name) {
        return switch (name) {
            case "released-executor" -> new ReleasedExecutor();
            case "unclaimed-end" -> new UnclaimedEnd();
            case "healed-entry" -> new HealedEntry();
            case "cancelled-run" -> new CancelledRun();
            case "reborn-executor" -> new RebornExecutor();
            // Shown or known faults that are no cases of this review; see REPORT-3.md.
            case "blocked-writer" -> new BlockedWriter();
            case "crashed-executors" -> new CrashedExecutors();
            case "slow-store" -> new SlowStore();
            case "pending-count" -> new PendingCount();
            // Random runs.
            case "soak" -> new Soak();
            default -> throw new IllegalArgumentException("no scenario " + name);
        };
    }
}
