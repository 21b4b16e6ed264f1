import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** MIXED: a caller that sends two requests over one connection gets the answers in the wrong order. */
final class Pipelined {
    private static final int ROUNDS = 10;

    private Pipelined() {}

    public static void main(String[] arguments) {
        ReviewCase.main(arguments, Pipelined::run);
    }

    private static List<String> run(RunLog log, boolean trouble) throws Exception {
        Deployment deployment = new Deployment(log, 2, 3, 16_000, List.of(List.of("a", "r1-1")));
        try {
            deployment.configure(1, List.of(Deployment.route("queue", 2, 60_000)));
            deployment.startAll();
            // The first job runs for long and belongs to the other entry, which reads its state from the store.
            String running = "00000000000000e1";
            String completed = "00000000000000e2";
            deployment.submit(2, "queue", running, List.of(new Jobs.Step(1, 400, 30_000, 30_000, 0, "")));
            deployment.submit(1, "queue", completed, List.of(new Jobs.Step(1, 400, 100, 100, 0, "")));
            ExecutorStandIn.sleep(1_500);
            List<String> breaches = new ArrayList<>();
            for (int round = 0; round < ROUNDS; round++) {
                List<String> answers = trouble
                        ? ask(deployment.frontAddress(1), List.of(running, completed))
                        : List.of(
                                ask(deployment.frontAddress(1), List.of(running)).getFirst(),
                                ask(deployment.frontAddress(1), List.of(completed)).getFirst());
                log.note("answers to GET " + running + ", GET " + completed + ": " + answers);
                if (answers.getFirst().contains("completed")) {
                    breaches.add("MIXED: the answer to GET " + running + " is " + answers.getFirst()
                            + " while its task runs");
                }
                ExecutorStandIn.sleep(200);
            }
            return breaches;
        } finally {
            ReviewCase.close(deployment);
        }
    }

    /** Sends one request for each job over one connection, and returns the bodies of the answers in their order. */
    private static List<String> ask(InetSocketAddress address, List<String> jobs) throws IOException {
        StringBuilder requests = new StringBuilder();
        for (String job : jobs) {
            requests.append("GET /queue/").append(job).append(" HTTP/1.1\r\nHost: jobs.example\r\n\r\n");
        }
        List<String> answers = new ArrayList<>();
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(3_000);
            socket.getOutputStream().write(requests.toString().getBytes(StandardCharsets.US_ASCII));
            for (int number = 0; number < jobs.size(); number++) {
                answers.add(readBody(socket.getInputStream()));
            }
        }
        return answers;
    }

    private static String readBody(InputStream input) throws IOException {
        int length = 0;
        for (String line = readLine(input); !line.isEmpty(); line = readLine(input)) {
            if (line.toLowerCase().startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
            }
        }
        return new String(input.readNBytes(length), StandardCharsets.UTF_8);
    }

    private static String readLine(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int character = input.read(); character != '\n'; character = input.read()) {
            if (character < 0) {
                throw new IOException("the connection has ended");
            }
            if (character != '\r') {
                line.append((char) character);
            }
        }
        return line.toString();
    }
}
