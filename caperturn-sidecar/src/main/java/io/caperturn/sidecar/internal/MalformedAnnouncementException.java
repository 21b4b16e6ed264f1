package io.caperturn.sidecar.internal;

/** Says that an announcement can't be read. */
final class MalformedAnnouncementException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedAnnouncementException(String message, Throwable cause) {
        super(message, cause);
    }
}
