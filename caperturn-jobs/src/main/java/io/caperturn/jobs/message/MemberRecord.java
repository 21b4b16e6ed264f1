package io.caperturn.jobs.message;

import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.UpstreamIncarnation;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Stored record of a registered process.
 *
 * @param role role of the process
 * @param node name of its instance
 * @param incarnation identity of this incarnation of the process
 * @param address address on which it accepts links, as {@code host:port}; empty if it accepts none
 * @param upstream description of a sidecar's upstream, used by the sidecar's next incarnation and for load forecasts
 */
public record MemberRecord(
        ProcessRole role, String node, String incarnation, String address, Optional<UpstreamIncarnation> upstream) {
    /** Checks that nothing is null. */
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
     * @return the encoded record
     */
    public byte[] toBytes() {
        FieldWriter writer = new FieldWriter()
                .writeLong(1, role.ordinal())
                .writeText(2, node)
                .writeText(3, incarnation)
                .writeText(4, address);
        upstream.ifPresent(known -> writer.writeMessage(5, nested -> write(nested, known)));
        return writer.toBytes();
    }

    /**
     * Decodes a record.
     *
     * @param bytes the encoded record
     * @return the record
     * @throws IOException if the bytes are not a valid record of a process
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
                case 1 -> role = reader.readInt();
                case 2 -> node = reader.readText();
                case 3 -> incarnation = reader.readText();
                case 4 -> address = reader.readText();
                case 5 -> upstream = read(reader.readMessage());
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
        writer.writeText(1, known.identity())
                .writeLong(2, known.born())
                .writeText(3, known.service())
                .writeMessage(4, nested -> JobFrameCodec.writeResources(nested, known.capacity()));
        known.labels().forEach(label -> writer.writeText(5, label));
    }

    private static UpstreamIncarnation read(FieldReader reader) throws IOException {
        String identity = "";
        long born = 0;
        String service = "";
        Resources capacity = Resources.NONE;
        List<String> labels = new ArrayList<>();
        for (int field = reader.next(); field != 0; field = reader.next()) {
            switch (field) {
                case 1 -> identity = reader.readText();
                case 2 -> born = reader.readLong();
                case 3 -> service = reader.readText();
                case 4 -> capacity = JobFrameCodec.readResources(reader.readMessage());
                case 5 -> labels.add(reader.readText());
                default -> reader.skip();
            }
        }
        return new UpstreamIncarnation(identity, born, service, capacity, labels);
    }
}
