package io.caperturn.proofs.promise;

import io.caperturn.testkit.process.ExecutionRecord;
import java.util.List;

/**
 * Outcome of a fault scenario.
 *
 * @param exchanges the requests of clients with their responses, in the order of sending
 * @param executionRecord the execution record of the upstreams, read after they had become idle
 * @param recovered whether both entries completed jobs again after the faults were healed, without a new cluster
 */
record FaultOutcome(List<ClientExchange> exchanges, ExecutionRecord executionRecord, boolean recovered) {
    FaultOutcome {
        exchanges = List.copyOf(exchanges);
    }

    List<ClientExchange> answered() {
        return exchanges.stream()
                .filter(exchange -> exchange.response().isReceived())
                .toList();
    }

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
