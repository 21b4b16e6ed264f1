package io.caperturn.jobs.message;

import java.io.IOException;
import java.util.Objects;

/**
 * Stored form of a process that takes part.
 *
 * @param role what it does
 * @param node name of its instance
 * @param incarnation identity of this life of the process
 * @param address where it takes links, as {@code host:port}; empty if it takes none
 */
public record MemberRecord(ProcessRole role, String node, String incarnation, String address) {
    /** Checks that nothing is missing. */
    public MemberRecord {
        Objects.requireNonNull(role, "role");
        Objects.requireNonNull(node, "node");
        Objects.requireNonNull(incarnation, "incarnation");
        Objects.requireNonNull(address, "address");
    }

    /**
     * Encodes this record.
     *
     * @return its bytes
     */
    public byte[] toBytes() {
        return new FieldWriter()
                .number(1, role.ordinal())
                .text(2, node)
                .text(3, incarnation)
                .text(4, address)
                .toBytes();
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
        for (int field = reader.next(); field != 0; field = reader.next()) {
            switch (field) {
                case 1 -> role = reader.small();
                case 2 -> node = reader.text();
                case 3 -> incarnation = reader.text();
                case 4 -> address = reader.text();
                default -> reader.skip();
            }
        }
        return new MemberRecord(role == 0 ? ProcessRole.ENTRY : ProcessRole.SIDECAR, node, incarnation, address);
    }
}
