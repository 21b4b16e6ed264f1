import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 server with one thread for each connection. */
final class HttpServer {
    /** Request; the names of headers are in lower case. */
    record Request(
            String method, String path, Map<String, String> query, Map<String, String> headers, String body) {}

    /** Response; a status of 0 closes the connection without one, and -1 leaves the connection open and silent. */
    record Response(int status, String body) {}

    interface Handler {
        Response handle(Request request) throws InterruptedException;
    }

    private final ServerSocket listener = new ServerSocket();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final Handler handler;

    HttpServer(String host, int port, Handler handler) throws IOException {
        this.handler = handler;
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName(host), port), 1024);
        Thread.ofVirtual().start(this::accept);
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    private void accept() {
        while (true) {
            try {
                Socket connection = listener.accept();
                connections.add(connection);
                Thread.ofVirtual().start(() -> serve(connection));
            } catch (IOException e) {
                return; // closed
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            connection.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(connection.getInputStream());
            while (true) {
                Request request = read(in);
                if (request == null) {
                    return;
                }
                Response response = handler.handle(request);
                if (response.status() == 0) {
                    return;
                }
                if (response.status() == -1) {
                    while (in.read() >= 0) {
                        // waits until the caller closes the connection
                    }
                    return;
                }
                byte[] body = response.body().getBytes(StandardCharsets.UTF_8);
                String head = "HTTP/1.1 " + response.status() + " Status\r\nContent-Type: application/json\r\n"
                        + "Content-Length: " + body.length + "\r\n\r\n";
                ByteArrayOutputStream out = new ByteArrayOutputStream();
                out.write(head.getBytes(StandardCharsets.UTF_8));
                out.write(body);
                connection.getOutputStream().write(out.toByteArray());
            }
        } catch (IOException | InterruptedException e) {
            // the caller has closed the connection
        } finally {
            connections.remove(connection);
        }
    }

    static Request read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        String[] words = first.split(" ");
        Map<String, String> headers = headers(in);
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        Map<String, String> query = new HashMap<>();
        int mark = words[1].indexOf('?');
        if (mark >= 0) {
            for (String pair : words[1].substring(mark + 1).split("&")) {
                int equals = pair.indexOf('=');
                query.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return new Request(
                words[0],
                mark < 0 ? words[1] : words[1].substring(0, mark),
                query,
                headers,
                new String(body, StandardCharsets.UTF_8));
    }

    static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new HashMap<>();
        for (String text = line(in); text != null && !text.isEmpty(); text = line(in)) {
            int colon = text.indexOf(':');
            headers.put(text.substring(0, colon).toLowerCase(Locale.ROOT), text.substring(colon + 1).trim());
        }
        return headers;
    }

    static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }

    void close() {
        try {
            listener.close();
            for (Socket connection : connections) {
                connection.close();
            }
        } catch (IOException e) {
            // closed already
        }
    }
}
