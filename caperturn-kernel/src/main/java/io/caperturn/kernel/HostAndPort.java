package io.caperturn.kernel;

import java.util.Objects;

/**
 * Address in the form {@code host:port}; the host is not looked up.
 *
 * @param host the host
 * @param port the port
 */
public record HostAndPort(String host, int port) {
    private static final int MAXIMUM_PORT = 65_535;

    /**
     * Checks the host and the port.
     *
     * @throws IllegalArgumentException if the host is empty, or the port is not from 1 to 65,535
     */
    public HostAndPort {
        Objects.requireNonNull(host, "host");
        if (host.isEmpty()) {
            throw new IllegalArgumentException("an address has no host");
        }
        if (port < 1 || port > MAXIMUM_PORT) {
            throw new IllegalArgumentException("port " + port + " is not from 1 to " + MAXIMUM_PORT);
        }
    }

    /**
     * Parses an address.
     *
     * @param text the address
     * @return the address
     * @throws IllegalArgumentException if the text is not {@code host:port}, or the port is out of range
     */
    public static HostAndPort parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException("'" + text + "' is not an address with a port");
        }
        try {
            return new HostAndPort(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("'" + text + "' is not an address with a port", e);
        }
    }
}
