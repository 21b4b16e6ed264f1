package io.caperturn.settings;

/** Settings of an entry process or a sidecar process, read from its JSON file, checked and with defaults filled in. */
public sealed interface Settings permits EntrySettings, SidecarSettings {
    /**
     * Returns the configured name of the process, unique in the system.
     *
     * @return the name
     */
    String name();

    /**
     * Returns the availability zone that the process runs in.
     *
     * @return the availability zone
     */
    String availabilityZone();
}
