package io.caperturn.cli.table;

import java.util.Arrays;
import java.util.Comparator;
import java.util.Objects;
import java.util.Optional;

/**
 * Name of a row of the table.
 *
 * @param type the type of the row
 * @param name the name of the kind or team
 */
public record RowName(Type type, String name) implements Comparable<RowName> {
    private static final Comparator<RowName> ORDER =
            Comparator.comparing(RowName::type).thenComparing(RowName::name);

    /** Checks that both parts are present. */
    public RowName {
        Objects.requireNonNull(type, "type");
        Objects.requireNonNull(name, "name");
    }

    @Override
    public int compareTo(RowName other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return type.collection() + "/" + name;
    }

    /** Type of a row. */
    public enum Type {
        /** Row of a kind of work. */
        KIND("kind", "kinds"),
        /** Row of a team. */
        TEAM("team", "teams");

        private final String label;
        private final String collection;

        Type(String label, String collection) {
            this.label = label;
            this.collection = collection;
        }

        /**
         * Returns the singular name of the type.
         *
         * @return {@code kind} or {@code team}
         */
        public String label() {
            return label;
        }

        /**
         * Returns the plural name of the type.
         *
         * @return {@code kinds} or {@code teams}
         */
        public String collection() {
            return collection;
        }

        /**
         * Finds a type by its singular name.
         *
         * @param label the singular name
         * @return the type, or empty if no type has this name
         */
        public static Optional<Type> findByLabel(String label) {
            return Arrays.stream(values())
                    .filter(type -> type.label.equals(label))
                    .findFirst();
        }
    }
}
