import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * TWICE: an executor that leaves gets no acknowledgement of its DELETE, and so ends some seconds later; the run that it
 * still executes is started again elsewhere at once.
 */
final class Departure {
    private static final int SIDECARS = 3;
    private static final long TASK_MILLISECONDS = 8_000;
    /** Time from the unanswered DELETE until the executor ends. */
    private static final long LINGER_MILLISECONDS = 3_000;
    /** Time in which the stand-in carries out the end of an executor; shorter overlaps are not counted. */
    private static final long EXIT_MILLISECONDS = 20;

    private Departure() {}

    public static void main(String[] arguments) {
        ReviewCase.main(arguments, Departure::run);
    }

    private static List<String> run(RunLog log, boolean trouble) throws Exception {
        Deployment deployment = new Deployment(log, 2, SIDECARS, 16_000, List.of(List.of("a", "r1-1")));
        try (ResettingProxy proxy = new ResettingProxy(
                deployment.spareAddress(), deployment.controlAddress(1), /* resetting= */ trouble)) {
            deployment.configure(1, List.of(Deployment.route("queue", 2, 60)));
            deployment.startAll();
            // The tasks take longer than a leaving executor goes on; each executor runs some, and has room left.
            String job = "00000000000000c1";
            Deployment.Answer answer = deployment.submit(
                    1,
                    "queue",
                    job,
                    List.of(new Jobs.Step(6, 1_600, TASK_MILLISECONDS, TASK_MILLISECONDS, 0, "")));
            if (answer.status() != 200) {
                throw new IllegalStateException("the job is not accepted: " + answer);
            }
            ExecutorStandIn.sleep(1_000);
            ExecutorStandIn leaving = deployment.executors().getFirst();
            if (!leaving.drain()) {
                throw new IllegalStateException("the draining state is not acknowledged");
            }
            ExecutorStandIn.sleep(3_500);
            boolean acknowledged = leaving.sendDeparture(proxy.address());
            if (!acknowledged) {
                ExecutorStandIn.sleep(LINGER_MILLISECONDS);
            }
            leaving.crash();
            ExecutorStandIn.sleep(20_000);
            deployment.recordState(2, "queue", job);
            return Rules.runsAtTheSameTime(log, EXIT_MILLISECONDS);
        } finally {
            ReviewCase.close(deployment);
        }
    }

    /** Proxy of one HTTP connection after the other; it can reset a connection once the request is delivered. */
    private static final class ResettingProxy implements AutoCloseable {
        private final ServerSocket listener;
        private final InetSocketAddress target;
        private final boolean resetting;

        ResettingProxy(InetSocketAddress address, String targetAddress, boolean resetting) throws IOException {
            int colon = targetAddress.lastIndexOf(':');
            this.target = new InetSocketAddress(
                    targetAddress.substring(0, colon), Integer.parseInt(targetAddress.substring(colon + 1)));
            this.resetting = resetting;
            this.listener = new ServerSocket(address.getPort() + 1, 10, address.getAddress());
            Thread thread = new Thread(this::serve, "proxy");
            thread.setDaemon(true);
            thread.start();
        }

        String address() {
            return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
        }

        private void serve() {
            while (!listener.isClosed()) {
                try (Socket caller = listener.accept();
                        Socket server = new Socket(target.getAddress(), target.getPort())) {
                    byte[] buffer = new byte[8_192];
                    int length = caller.getInputStream().read(buffer);
                    OutputStream toServer = server.getOutputStream();
                    toServer.write(buffer, 0, Math.max(0, length));
                    toServer.flush();
                    InputStream fromServer = server.getInputStream();
                    int answered = fromServer.read(buffer);
                    if (resetting) {
                        // The answer is lost: closing with this option resets the connection.
                        caller.setSoLinger(true, 0);
                    } else {
                        caller.getOutputStream().write(buffer, 0, Math.max(0, answered));
                        caller.getOutputStream().flush();
                    }
                } catch (IOException e) {
                    // The listener is closed, or one of the connections has ended.
                }
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }
}
