package io.caperturn.entry.table;

import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;

/**
 * Row of the operators' table of weights and limits that a request reads or edits.
 *
 * @param type the type of the row
 * @param name the name of the kind or team
 * @param expectedVersion the version that the row must have; 0 if it must not exist, or if the request only reads it
 */
record RowTarget(Type type, String name, long expectedVersion) {
    /** Rejects null components. */
    RowTarget {
        Objects.requireNonNull(type, "type");
        Objects.requireNonNull(name, "name");
    }

    RowTarget withExpectedVersion(long version) {
        return new RowTarget(type, name, version);
    }

    /** Type of a row. */
    enum Type {
        /** Row of a kind of task. */
        KIND("kinds", "deleteKind"),
        /** Row of a team. */
        TEAM("teams", "deleteTeam");

        private final String collection;
        private final String deletionMember;

        Type(String collection, String deletionMember) {
            this.collection = collection;
            this.deletionMember = deletionMember;
        }

        /** Returns the name that stands for all rows of this type in URL paths and in the store. */
        String collection() {
            return collection;
        }

        /** Returns the JSON member in which an edit names the row that it deletes. */
        String deletionMember() {
            return deletionMember;
        }

        static Optional<Type> findByCollection(String collection) {
            return Arrays.stream(values())
                    .filter(type -> type.collection.equals(collection))
                    .findFirst();
        }
    }
}
