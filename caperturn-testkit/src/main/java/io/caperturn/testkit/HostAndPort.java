package io.caperturn.testkit;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Objects;

/**
 * IPv4 address and TCP port of one end of a connection.
 *
 * @param host the IPv4 address in dotted notation
 * @param port the port; 0 binds any free port
 */
public record HostAndPort(String host, int port) {
    /** Loopback address with port 0, which binds any free port. */
    public static final HostAndPort FREE_LOOPBACK_PORT = new HostAndPort("127.0.0.1", 0);

    private static final int HIGHEST_PORT = 65_535;

    /** Checks that the host is present and the port is in range. */
    public HostAndPort {
        Objects.requireNonNull(host, "host");
        if (port < 0 || port > HIGHEST_PORT) {
            throw new IllegalArgumentException("port out of range: " + port);
        }
    }

    /**
     * Parses the form {@code host:port}.
     *
     * @param text the text
     * @return the address
     * @throws IllegalArgumentException if the text has another form or the port is out of range
     */
    public static HostAndPort parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("expected host:port but got " + text);
        }
        return new HostAndPort(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /**
     * Returns the address as a socket address.
     *
     * @return the address
     */
    public InetSocketAddress socketAddress() {
        return new InetSocketAddress(host, port);
    }

    /**
     * Returns the HTTP URI of a path at this address.
     *
     * @param path the path, starting with a slash
     * @return the URI
     */
    public URI uri(String path) {
        return URI.create("http://" + this + path);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
