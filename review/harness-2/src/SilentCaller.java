import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * TWICE: a frozen entry reads a request after its caller has ceased to wait, starts the job, and gives it up a whole
 * deadline later, when the caller's second attempt runs elsewhere.
 */
final class SilentCaller {
    private static final int JOBS = 4;
    private static final long DEADLINE_MILLISECONDS = 1_500;
    private static final long RESEND_MILLISECONDS = 1_300;
    private static final long FREEZE_MILLISECONDS = 1_500;
    private static final long TASK_MILLISECONDS = 2_000;

    private SilentCaller() {}

    public static void main(String[] arguments) {
        ReviewCase.main(arguments, SilentCaller::run);
    }

    private static List<String> run(RunLog log, boolean trouble) throws Exception {
        Deployment deployment = new Deployment(log, 2, 3, 16_000, List.of(List.of("a", "r1-1")));
        List<Socket> sockets = new ArrayList<>();
        try {
            deployment.configure(1, List.of(Deployment.route("queue", 2, 5_000)));
            deployment.startAll();
            for (int number = 0; number < JOBS; number++) {
                Socket socket = new Socket(
                        deployment.frontAddress(1).getAddress(),
                        deployment.frontAddress(1).getPort());
                sockets.add(socket);
            }
            ExecutorStandIn.sleep(300);
            if (trouble) {
                deployment.signal(Deployment.entryName(1), "STOP");
            }
            double sentAt = log.now();
            for (int number = 0; number < JOBS; number++) {
                send(deployment, log, sockets.get(number), number);
            }
            // Without the disruption an answer would come, or the caller would be told that there is none in time.
            waitUntil(log, sentAt + DEADLINE_MILLISECONDS);
            log.note("the callers wait no longer");
            if (trouble) {
                waitUntil(log, sentAt + FREEZE_MILLISECONDS);
                deployment.signal(Deployment.entryName(1), "CONT");
                waitUntil(log, sentAt + DEADLINE_MILLISECONDS + RESEND_MILLISECONDS);
                for (int number = 0; number < JOBS; number++) {
                    Socket socket = new Socket(
                            deployment.frontAddress(2).getAddress(),
                            deployment.frontAddress(2).getPort());
                    sockets.add(socket);
                    send(deployment, log, socket, number);
                }
            }
            ExecutorStandIn.sleep(5_000);
            return Rules.runsAtTheSameTime(log);
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
            ReviewCase.close(deployment);
        }
    }

    private static void send(Deployment deployment, RunLog log, Socket socket, int number) throws IOException {
        String job = String.format("%016x", 0x510000L + number);
        Jobs.Step step = new Jobs.Step(2, 800, TASK_MILLISECONDS, TASK_MILLISECONDS, 0, "");
        deployment.jobs().add(job, List.of(step));
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("spec", "spec of " + job);
        body.put("steps", List.of(step.toJson(0, /* afterAllEarlier= */ false)));
        body.put("bestEffort", true);
        byte[] text = Json.write(body);
        String head = "POST /queue/" + job + " HTTP/1.1\r\nHost: jobs.example\r\nContent-Type: application/json\r\n"
                + "Request-Deadline-Ms: " + DEADLINE_MILLISECONDS + "\r\nContent-Length: " + text.length + "\r\n\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().write(text);
        socket.getOutputStream().flush();
        log.note("POST " + job + " to " + socket.getRemoteSocketAddress());
    }

    private static void waitUntil(RunLog log, double time) {
        ExecutorStandIn.sleep(Math.max(0, Math.round(time - log.now())));
    }
}
