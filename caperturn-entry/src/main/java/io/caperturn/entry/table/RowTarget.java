package io.caperturn.entry.table;

import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;

/**
 * Row that a request is about.
 *
 * @param type what the row is for
 * @param name the kind's or team's name
 * @param expectedVersion the version that the row must have, 0 if it must not exist
 */
record RowTarget(Type type, String name, long expectedVersion) {
    /** Checks that all parts are present. */
    RowTarget {
        Objects.requireNonNull(type, "type");
        Objects.requireNonNull(name, "name");
    }

    RowTarget withExpectedVersion(long version) {
        return new RowTarget(type, name, version);
    }

    /** What a row is for. */
    enum Type {
        /** A kind of work. */
        KIND("kinds", "deleteKind"),
        /** A team. */
        TEAM("teams", "deleteTeam");

        private final String collection;
        private final String deletionMember;

        Type(String collection, String deletion) {
            this.collection = collection;
            this.deletionMember = deletion;
        }

        /** Returns the word for all rows, in paths and in the store. */
        String collection() {
            return collection;
        }

        /** Returns the member by which an edit names the row that it deletes. */
        String deletionMember() {
            return deletionMember;
        }

        static Optional<Type> find(String collection) {
            return Arrays.stream(values())
                    .filter(type -> type.collection.equals(collection))
                    .findFirst();
        }
    }
}
