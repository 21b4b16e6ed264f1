package io.caperturn.jobs.message;

import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.UpstreamIncarnation;
import io.caperturn.kernel.HostAndPort;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Stored record of a registered process, encoded as a protobuf message.
 *
 * @param role role of the process
 * @param node name of its instance
 * @param incarnation identity of the process from its start to its stop; after a restart it has another one
 * @param address address on which it accepts connections of other processes, as {@code host:port}; empty if it accepts
 *     none
 * @param zone availability zone of its instance; empty if unknown
 * @param upstream description of a sidecar's upstream, used by the sidecar's next incarnation and for load forecasts
 */
public record MemberRecord(
        ProcessRole role,
        String node,
        String incarnation,
        String address,
        String zone,
        Optional<UpstreamIncarnation> upstream) {
    /**
     * Checks that nothing is null, that the process is named, and that the address has a port.
     *
     * @throws IllegalArgumentException if the node or incarnation is empty, the address is neither empty nor
     *     {@code host:port}, or an entry has no address
     */
    public MemberRecord {
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(incarnation, "incarnation");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(zone, "zone");
        Objects.requireNonNull(upstream, "upstream");
        if (node.isEmpty() || incarnation.isEmpty()) {
            throw new IllegalArgumentException("no node or incarnation");
        }
        if (role == ProcessRole.ENTRY || !address.isEmpty()) {
            HostAndPort.parse(address);
        }
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
                .writeText(4, address)
                .writeText(6, zone);
        upstream.ifPresent(description -> writer.writeMessage(5, nested -> write(nested, description)));
        return writer.toBytes();
    }

    /**
     * Decodes a record.
     *
     * @param name name under which the record is stored: that of the instance
     * @param bytes the encoded record
     * @return the record
     * @throws IOException if the bytes are not a valid record of the process on that instance
     */
    public static MemberRecord decode(String name, byte[] bytes) throws IOException {
        FieldReader reader = new FieldReader(bytes);
        int role = 0;
        String node = "";
        String incarnation = "";
        String address = "";
        String zone = "";
        UpstreamIncarnation upstream = null;
        for (int field = reader.nextFieldNumber(); field != 0; field = reader.nextFieldNumber()) {
            switch (field) {
                case 1 -> role = reader.readInt();
                case 2 -> node = reader.readText();
                case 3 -> incarnation = reader.readText();
                case 4 -> address = reader.readText();
                case 5 -> upstream = read(reader.readMessage());
                case 6 -> zone = reader.readText();
                default -> reader.skip();
            }
        }
        if (!node.equals(name)) {
            throw new IOException("the record is one of instance '" + node + "'");
        }
        try {
            return new MemberRecord(
                    role == 0 ? ProcessRole.ENTRY : ProcessRole.SIDECAR,
                    node,
                    incarnation,
                    address,
                    zone,
                    Optional.ofNullable(upstream));
        } catch (IllegalArgumentException e) {
            throw new IOException("invalid record of a process: " + e.getMessage(), e);
        }
    }

    private static void write(FieldWriter writer, UpstreamIncarnation description) {
        writer.writeText(1, description.identity())
                .writeLong(2, description.startEpochMilliseconds())
                .writeText(3, description.service())
                .writeMessage(4, nested -> ResourcesCodec.write(nested, description.capacity()));
        description.labels().forEach(label -> writer.writeText(5, label));
    }

    private static UpstreamIncarnation read(FieldReader reader) throws IOException {
        String identity = "";
        long startEpochMilliseconds = 0;
        String service = "";
        Resources capacity = Resources.NONE;
        List<String> labels = new ArrayList<>();
        for (int field = reader.nextFieldNumber(); field != 0; field = reader.nextFieldNumber()) {
            switch (field) {
                case 1 -> identity = reader.readText();
                case 2 -> startEpochMilliseconds = reader.readLong();
                case 3 -> service = reader.readText();
                case 4 -> capacity = ResourcesCodec.read(reader.readMessage());
                case 5 -> labels.add(reader.readText());
                default -> reader.skip();
            }
        }
        try {
            return new UpstreamIncarnation(identity, startEpochMilliseconds, service, capacity, labels);
        } catch (IllegalArgumentException e) {
            throw new IOException("invalid upstream in the record of a process: " + e.getMessage(), e);
        }
    }
}
