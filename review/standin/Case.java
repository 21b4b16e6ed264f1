import java.nio.file.Path;

/** Frame of a case: opens the transcript, limits the time, and turns the outcome into an exit status. */
final class Case {
    private static final int RULE_BROKEN = 1;
    private static final int COULD_NOT_RUN = 2;
    private static final long LIMIT_MILLISECONDS = 115_000;

    private Case() {}

    interface Body {
        /** Runs the case and returns whether the rule held. */
        boolean run(boolean trouble) throws Exception;
    }

    /** Thrown where a condition that the case needs was not met. */
    static final class NotRun extends Exception {
        NotRun(String reason) {
            super(reason);
        }
    }

    static void main(String[] arguments, Body body) {
        int status;
        try {
            Transcript.open(Path.of(arguments[0], "record.txt"));
            Thread watch = new Thread(() -> {
                try {
                    Thread.sleep(LIMIT_MILLISECONDS);
                } catch (InterruptedException e) {
                    return;
                }
                Transcript.event("not run: out of time");
                System.exit(COULD_NOT_RUN);
            });
            watch.setDaemon(true);
            watch.start();
            boolean trouble = !"0".equals(System.getenv("TROUBLE"));
            Transcript.event(trouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
            boolean held = body.run(trouble);
            Transcript.event(held ? "the rule held" : "THE RULE WAS BROKEN");
            status = held ? 0 : RULE_BROKEN;
        } catch (Exception e) {
            Transcript.event("not run: " + e);
            if (!(e instanceof NotRun)) {
                e.printStackTrace();
            }
            status = COULD_NOT_RUN;
        }
        System.exit(status);
    }
}
