package io.caperturn.jobs.message;

import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.UpstreamIncarnation;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Stored form of a process that takes part.
 *
 * @param role what it does
 * @param node name of its instance
 * @param incarnation identity of this life of the process
 * @param address where it takes links, as {@code host:port}; empty if it takes none
 * @param upstream what a sidecar knows of its upstream, for its next life
 */
public record MemberRecord(
        ProcessRole role, String node, String incarnation, String address, Optional<UpstreamIncarnation> upstream) {
    /** Checks that nothing is missing. */
    public MemberRecord {
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(incarnation, "incarnation");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(upstream, "upstream");
    }

    /**
     * Encodes this record.
     *
     * @return its bytes
     */
    public byte[] toBytes() {
        FieldWriter writer = new FieldWriter()
                .number(1, role.ordinal())
                .text(2, node)
                .text(3, incarnation)
                .text(4, address);
        upstream.ifPresent(known -> writer.message(5, nested -> write(nested, known)));
        return writer.toBytes();
    }

    /**
     * Decodes a record.
     *
     * @param bytes its bytes
     * @return the record
     * @throws IOException if the bytes are no record of a process
     */
    public static MemberRecord of(byte[] bytes) throws IOException {
        FieldReader reader = new FieldReader(bytes);
        int role = 0;
        String node = "";
        String incarnation = "";
        String address = "";
        UpstreamIncarnation upstream = null;
        for (int field = reader.next(); field != 0; field = reader.next()) {
            switch (field) {
                case 1 -> role = reader.small();
                case 2 -> node = reader.text();
                case 3 -> incarnation = reader.text();
                case 4 -> address = reader.text();
                case 5 -> upstream = read(reader.message());
                default -> reader.skip();
            }
        }
        return new MemberRecord(
                role == 0 ? ProcessRole.ENTRY : ProcessRole.SIDECAR,
                node,
                incarnation,
                address,
                Optional.ofNullable(upstream));
    }

    private static void write(FieldWriter writer, UpstreamIncarnation known) {
        writer.text(1, known.identity())
                .number(2, known.born())
                .text(3, known.service())
                .message(4, nested -> JobFrameCodec.writeResources(nested, known.capacity()));
        known.labels().forEach(label -> writer.text(5, label));
    }

    private static UpstreamIncarnation read(FieldReader reader) throws IOException {
        String identity = "";
        long born = 0;
        String service = "";
        Resources capacity = Resources.NONE;
        List<String> labels = new ArrayList<>();
        for (int field = reader.next(); field != 0; field = reader.next()) {
            switch (field) {
                case 1 -> identity = reader.text();
                case 2 -> born = reader.number();
                case 3 -> service = reader.text();
                case 4 -> capacity = JobFrameCodec.readResources(reader.message());
                case 5 -> labels.add(reader.text());
                default -> reader.skip();
            }
        }
        return new UpstreamIncarnation(identity, born, service, capacity, labels);
    }
}
