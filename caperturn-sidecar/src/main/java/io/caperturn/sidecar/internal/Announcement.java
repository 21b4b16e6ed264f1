package io.caperturn.sidecar.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.caperturn.core.model.UpstreamDescription;
import java.io.IOException;
import java.util.HashSet;
import java.util.List;

/**
 * Announcement of an upstream as it arrives.
 *
 * @param name the upstream's name
 * @param kinds the kinds of work that it serves
 * @param slots how many tasks it runs at once
 * @param connections how many connections it accepts
 * @param worker the worker that it runs on
 * @param rack the rack of the worker
 * @param availabilityZone the availability zone of the worker
 * @param address where it is, {@code host:port}
 * @param state {@code serving} or {@code leaving}
 */
record Announcement(
        String name,
        List<String> kinds,
        int slots,
        int connections,
        String worker,
        String rack,
        String availabilityZone,
        String address,
        String state) {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    private static final int HIGHEST_PORT = 65_535;

    /** Checks what must be present. */
    Announcement {
        require(name != null && !name.isBlank(), "name");
        require(kinds != null && !kinds.isEmpty(), "kinds");
        require(slots > 0, "slots");
        require(connections > 0, "connections");
        require(address != null && isAddress(address), "address");
        require("serving".equals(state) || "leaving".equals(state), "state");
        kinds = List.copyOf(kinds);
        worker = worker == null ? "" : worker;
        rack = rack == null ? "" : rack;
        availabilityZone = availabilityZone == null ? "" : availabilityZone;
    }

    /**
     * Reads an announcement.
     *
     * @param json the body
     * @return the announcement
     * @throws MalformedAnnouncementException if it is no JSON of that shape, or a member is missing or out of range
     */
    static Announcement parse(byte[] json) throws MalformedAnnouncementException {
        try {
            Announcement announcement = MAPPER.readValue(json, Announcement.class);
            if (announcement == null) {
                throw new MalformedAnnouncementException("empty announcement", null);
            }
            return announcement;
        } catch (JsonProcessingException e) {
            boolean outOfRange = e.getCause() instanceof IllegalArgumentException;
            throw new MalformedAnnouncementException(
                    outOfRange ? e.getCause().getMessage() : e.getOriginalMessage(), e);
        } catch (IOException e) {
            throw new MalformedAnnouncementException(e.getMessage(), e);
        }
    }

    boolean isLeaving() {
        return "leaving".equals(state);
    }

    UpstreamDescription description() {
        return new UpstreamDescription(name, new HashSet<>(kinds), slots, connections, worker, rack, availabilityZone);
    }

    private static boolean isAddress(String address) {
        int colon = address.lastIndexOf(':');
        if (colon < 1) {
            return false;
        }
        String port = address.substring(colon + 1);
        boolean numeric = !port.isEmpty() && port.length() <= 5 && port.chars().allMatch(c -> c >= '0' && c <= '9');
        return numeric && Integer.parseInt(port) > 0 && Integer.parseInt(port) <= HIGHEST_PORT;
    }

    private static void require(boolean condition, String member) {
        if (!condition) {
            throw new IllegalArgumentException("member '" + member + "' is missing or out of range");
        }
    }
}
