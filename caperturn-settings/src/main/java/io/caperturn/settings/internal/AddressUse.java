package io.caperturn.settings.internal;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What an address is for, which decides what may stand in it. Names are never resolved. */
enum AddressUse {
    /** The process listens there. */
    LISTEN("IP number and port, as 192.0.2.1:8080 or [2001:db8::1]:8080; port 0 for any", true, true),
    /** The process listens there and tells others to connect to it. */
    LISTEN_AND_TELL(
            "IP number that others reach (not 0.0.0.0 or [::]) and port, as 192.0.2.1:8080; port 0 for any",
            false,
            true),
    /** The process connects to it. */
    CONNECT("IP number (not 0.0.0.0 or [::]) and port from 1 to 65535, as 192.0.2.1:8080", false, false);

    private static final int MAXIMUM_PORT = 65_535;
    private static final Pattern ADDRESS = Pattern.compile("(?<host>[0-9.]+|\\[[0-9A-Fa-f:.]+]):(?<port>[0-9]{1,5})");
    private static final Pattern IP_VERSION_4 =
            Pattern.compile("(?:(?:25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])(?:\\.(?!$)|$)){4}");

    private final String allowed;
    private final boolean wildcard;
    private final boolean anyPort;

    AddressUse(String allowed, boolean wildcard, boolean anyPort) {
        this.allowed = allowed;
        this.wildcard = wildcard;
        this.anyPort = anyPort;
    }

    String allowed() {
        return allowed;
    }

    boolean allows(String text) {
        Matcher matcher = ADDRESS.matcher(text);
        if (!matcher.matches()) {
            return false;
        }
        int port = Integer.parseInt(matcher.group("port"));
        if (port > MAXIMUM_PORT || (port == 0 && !anyPort)) {
            return false;
        }
        return number(matcher.group("host"))
                .filter(address -> wildcard || !address.isAnyLocalAddress())
                .isPresent();
    }

    private static Optional<InetAddress> number(String host) {
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
