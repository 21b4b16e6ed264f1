import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** One client connection; a call is answered before the next one is sent. */
final class HttpClient implements AutoCloseable {
    /** Answer; status 0 stands for no answer: the connection was refused, broken or silent for too long. */
    record Answer(int status, String body) {
        @Override
        public String toString() {
            return status == 0 ? "no answer (" + body + ")" : status + " " + body;
        }
    }

    private final Socket socket = new Socket();
    private InputStream in;
    private final String host;
    private final int port;

    HttpClient(String host, int port) {
        this.host = host;
        this.port = port;
    }

    boolean connect() {
        try {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(host, port), 1_000);
            in = new BufferedInputStream(socket.getInputStream());
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    Answer call(String method, String path, Map<String, String> headers, String body, int timeoutMilliseconds) {
        try {
            if (in == null && !connect()) {
                return new Answer(0, "no connection");
            }
            socket.setSoTimeout(timeoutMilliseconds);
            send(method, path, headers, body);
            return receive();
        } catch (IOException e) {
            return new Answer(0, String.valueOf(e.getMessage()));
        }
    }

    void send(String method, String path, Map<String, String> headers, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (bytes.length > 0) {
            head.append("Content-Type: application/json\r\n");
        }
        head.append("Content-Length: ").append(bytes.length).append("\r\n\r\n");
        byte[] headBytes = head.toString().getBytes(StandardCharsets.UTF_8);
        byte[] all = new byte[headBytes.length + bytes.length];
        System.arraycopy(headBytes, 0, all, 0, headBytes.length);
        System.arraycopy(bytes, 0, all, headBytes.length, bytes.length);
        socket.getOutputStream().write(all);
    }

    Answer receive() throws IOException {
        String first = HttpServer.line(in);
        if (first == null) {
            return new Answer(0, "connection closed");
        }
        Map<String, String> headers = HttpServer.headers(in);
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        return new Answer(Integer.parseInt(first.split(" ")[1]), new String(body, StandardCharsets.UTF_8));
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // closed already
        }
    }
}
