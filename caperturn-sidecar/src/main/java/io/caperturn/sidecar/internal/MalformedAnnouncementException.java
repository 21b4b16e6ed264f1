package io.caperturn.sidecar.internal;

/** Thrown if the body of an announcement is malformed. */
final class MalformedAnnouncementException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedAnnouncementException(String message, Throwable cause) {
        super(message, cause);
    }
}
