package io.caperturn.settings;

/** Settings of one daemon, as its JSON file gives them after all checks. */
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
