package io.caperturn.jobs.simulation;

/** Way in which a task crashes the simulated upstream that starts it. */
enum CrashMode {
    /** Shortly after the start; connections are refused then. */
    AFTER_START,
    /** Before the order to start is answered; connections are refused then. */
    BEFORE_ANSWER,
    /** Shortly after the start; nothing is answered then, as if the machine had lost power. */
    SILENT
}
