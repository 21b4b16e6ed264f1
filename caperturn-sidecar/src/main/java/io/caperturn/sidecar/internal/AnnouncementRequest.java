package io.caperturn.sidecar.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.caperturn.core.model.UpstreamDescription;
import java.io.IOException;
import java.util.HashSet;
import java.util.List;

/**
 * JSON body of an announcement, by which an upstream describes itself to its sidecar process.
 *
 * @param name the upstream's name
 * @param kinds the kinds of task that it runs
 * @param slots the number of tasks that it runs concurrently
 * @param connections the maximum number of connections that it accepts
 * @param worker the worker machine that it runs on
 * @param rack the rack of the worker
 * @param availabilityZone the availability zone of the worker
 * @param address the address that it listens on, {@code host:port}
 * @param state {@code serving} if it accepts tasks, {@code leaving} if it accepts no more
 */
record AnnouncementRequest(
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
    private static final int MAXIMUM_PORT = 65_535;

    /**
     * Checks the members and replaces an absent worker, rack or availability zone by the empty string.
     *
     * @throws IllegalArgumentException if a required member is missing or out of range
     */
    AnnouncementRequest {
        checkMember(name != null && !name.isBlank(), "name");
        checkMember(kinds != null && !kinds.isEmpty(), "kinds");
        checkMember(slots > 0, "slots");
        checkMember(connections > 0, "connections");
        checkMember(address != null && isAddress(address), "address");
        checkMember("serving".equals(state) || "leaving".equals(state), "state");
        kinds = List.copyOf(kinds);
        worker = worker == null ? "" : worker;
        rack = rack == null ? "" : rack;
        availabilityZone = availabilityZone == null ? "" : availabilityZone;
    }

    /**
     * Parses an announcement.
     *
     * @param json the request body
     * @return the announcement
     * @throws MalformedAnnouncementException if the body is not a JSON object of these members, or a member is missing
     *     or out of range
     */
    static AnnouncementRequest parse(byte[] json) throws MalformedAnnouncementException {
        try {
            AnnouncementRequest announcement = MAPPER.readValue(json, AnnouncementRequest.class);
            if (announcement == null) {
                throw new MalformedAnnouncementException("empty announcement", null);
            }
            return announcement;
        } catch (JsonProcessingException e) {
            boolean isInvalidMember = e.getCause() instanceof IllegalArgumentException;
            throw new MalformedAnnouncementException(
                    isInvalidMember ? e.getCause().getMessage() : e.getOriginalMessage(), e);
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
        boolean isPortNumber =
                !port.isEmpty() && port.length() <= 5 && port.chars().allMatch(c -> c >= '0' && c <= '9');
        return isPortNumber && Integer.parseInt(port) > 0 && Integer.parseInt(port) <= MAXIMUM_PORT;
    }

    private static void checkMember(boolean condition, String member) {
        if (!condition) {
            throw new IllegalArgumentException("member '" + member + "' is missing or out of range");
        }
    }
}
