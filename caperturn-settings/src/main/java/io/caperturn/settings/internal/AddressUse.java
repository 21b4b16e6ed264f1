package io.caperturn.settings.internal;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Use of an address in the settings, which determines the allowed values. Host names are never resolved. */
enum AddressUse {
    /** The process listens on the address. */
    LISTEN("IP address and port, as 192.0.2.1:8080 or [2001:db8::1]:8080; port 0 for any", true, true),
    /** The process listens on the address and advertises it to other processes. */
    LISTEN_AND_ADVERTISE(
            "IP address that other processes reach (not 0.0.0.0 or [::]) and port, as 192.0.2.1:8080; port 0 for any",
            false,
            true),
    /** The process connects to the address. */
    CONNECT("IP address (not 0.0.0.0 or [::]) and port from 1 to 65535, as 192.0.2.1:8080", false, false);

    private static final int MAXIMUM_PORT = 65_535;
    private static final Pattern ADDRESS = Pattern.compile("(?<host>[0-9.]+|\\[[0-9A-Fa-f:.]+]):(?<port>[0-9]{1,5})");
    private static final Pattern IP_VERSION_4 =
            Pattern.compile("(?:(?:25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])(?:\\.(?!$)|$)){4}");

    private final String allowedValues;
    /** Whether 0.0.0.0 and [::], which mean all addresses, are allowed. */
    private final boolean wildcardAllowed;

    private final boolean portZeroAllowed;

    AddressUse(String allowedValues, boolean wildcardAllowed, boolean portZeroAllowed) {
        this.allowedValues = allowedValues;
        this.wildcardAllowed = wildcardAllowed;
        this.portZeroAllowed = portZeroAllowed;
    }

    String allowedValues() {
        return allowedValues;
    }

    boolean allows(String text) {
        Matcher matcher = ADDRESS.matcher(text);
        if (!matcher.matches()) {
            return false;
        }
        int port = Integer.parseInt(matcher.group("port"));
        if (port > MAXIMUM_PORT || (port == 0 && !portZeroAllowed)) {
            return false;
        }
        return parseIpAddress(matcher.group("host"))
                .filter(address -> wildcardAllowed || !address.isAnyLocalAddress())
                .isPresent();
    }

    private static Optional<InetAddress> parseIpAddress(String host) {
        // getByName resolves text that is not an IP address as a host name; bracketed text is only parsed.
        if (!host.startsWith("[") && !IP_VERSION_4.matcher(host).matches()) {
            return Optional.empty();
        }
        try {
            return Optional.of(InetAddress.getByName(host));
        } catch (UnknownHostException e) {
            return Optional.empty();
        }
    }
}
