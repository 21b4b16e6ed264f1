package io.caperturn.platform.registry;

import java.util.List;
import java.util.Objects;

/** What a call to the {@link EntryRegistry} gave. */
public sealed interface RegistryResult {
    /**
     * The call took effect.
     *
     * @param entries all entries after a list, the caller's own after its registration, none after its removal
     */
    record Entries(List<EntryRegistration> entries) implements RegistryResult {
        /** Copies the entries. */
        public Entries {
            entries = List.copyOf(entries);
        }
    }

    /**
     * The call had no effect that is known of.
     *
     * @param detail one line for people
     */
    record Failed(String detail) implements RegistryResult {
        /** Checks that the detail is present. */
        public Failed {
            Objects.requireNonNull(detail, "detail");
        }
    }
}
