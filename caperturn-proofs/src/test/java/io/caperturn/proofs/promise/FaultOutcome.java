package io.caperturn.proofs.promise;

import io.caperturn.testkit.process.ExecutionRecord;
import java.util.List;

/**
 * Outcome of a fault scenario, in which clients submit work to two entries (processes that accept submissions).
 *
 * @param exchanges the requests of clients with their responses, in the order of sending
 * @param executionRecord the execution record of the upstreams, read after they had become idle
 * @param recovered whether both entries of the same cluster completed jobs again after the faults had ended
 */
record FaultOutcome(List<ClientExchange> exchanges, ExecutionRecord executionRecord, boolean recovered) {
    FaultOutcome {
        exchanges = List.copyOf(exchanges);
    }

    /** Returns the exchanges with a complete HTTP response of any status. */
    List<ClientExchange> answered() {
        return exchanges.stream()
                .filter(exchange -> exchange.response().isReceived())
                .toList();
    }

    /** Returns the exchanges whose work was completed, as stated by status 200. */
    List<ClientExchange> complete() {
        return exchanges.stream()
                .filter(exchange -> exchange.response().isComplete())
                .toList();
    }

    /** Returns the exchanges of a request type. */
    List<ClientExchange> exchangesOfType(ClientExchange.RequestType type) {
        return exchanges.stream().filter(exchange -> exchange.type() == type).toList();
    }

    /** Returns how often the submission of an exchange was sent, resubmissions included. */
    long countSubmissions(ClientExchange wanted) {
        return exchanges.stream()
                .filter(exchange -> exchange.submission()
                        .identity()
                        .equals(wanted.submission().identity()))
                .count();
    }
}
