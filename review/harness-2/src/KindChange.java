import java.util.ArrayList;
import java.util.List;

/**
 * ROUTE: a sidecar that was frozen while its executor came back as another kind starts the tasks that were sent to it
 * before, without looking at their label.
 */
final class KindChange {
    private KindChange() {}

    public static void main(String[] arguments) {
        ReviewCase.main(arguments, KindChange::run);
    }

    private static List<String> run(RunLog log, boolean trouble) throws Exception {
        List<String> kindA = List.of("a", "r1-1");
        List<String> kindB = List.of("b", "r1-1");
        Deployment deployment = new Deployment(log, 2, 3, 16_000, List.of(kindA, kindA, kindB));
        try {
            deployment.configure(1, List.of(Deployment.route("queue", 2, 60_000)));
            deployment.startAll();
            ExecutorStandIn changing = deployment.executors().getLast();
            String sidecar = Deployment.sidecarName(3);
            if (trouble) {
                deployment.signal(sidecar, "STOP");
                ExecutorStandIn.sleep(100);
            }
            deployment.submit(
                    1, "queue", "00000000000000e1", List.of(new Jobs.Step(4, 400, 500, 500, 0, "b")));
            if (trouble) {
                ExecutorStandIn.sleep(100);
                changing.crash();
                ExecutorStandIn.sleep(600);
                changing.start(kindA);
                ExecutorStandIn.sleep(500);
                deployment.signal(sidecar, "CONT");
            }
            ExecutorStandIn.sleep(5_000);
            List<String> breaches = new ArrayList<>();
            for (RunLog.Run run : log.runs()) {
                if (run.executor.contains("[a")) {
                    breaches.add("ROUTE: " + run.task + ", which requires label b, started on " + run.executor);
                }
            }
            return breaches;
        } finally {
            ReviewCase.close(deployment);
        }
    }
}
