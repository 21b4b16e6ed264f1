package io.caperturn.proofs.promise;

import io.caperturn.testkit.process.UpstreamRecords;
import java.util.List;

/**
 * What came of a scenario.
 *
 * @param exchanges what clients sent and got, in the order of sending
 * @param records what the upstreams recorded, once all was quiet
 * @param recovered whether the cluster served both its entries again after the fault, without help
 */
record FaultOutcome(List<Exchange> exchanges, UpstreamRecords records, boolean recovered) {
    FaultOutcome {
        exchanges = List.copyOf(exchanges);
    }

    List<Exchange> answered() {
        return exchanges.stream()
                .filter(exchange -> exchange.answer().isAnswered())
                .toList();
    }

    List<Exchange> complete() {
        return exchanges.stream()
                .filter(exchange -> exchange.answer().isComplete())
                .toList();
    }

    /** Lists the exchanges of a sort. */
    List<Exchange> of(Exchange.Sort sort) {
        return exchanges.stream().filter(exchange -> exchange.sort() == sort).toList();
    }

    /** Counts how often a submission was sent. */
    long timesSent(Exchange wanted) {
        return exchanges.stream()
                .filter(exchange -> exchange.submission()
                        .identity()
                        .equals(wanted.submission().identity()))
                .count();
    }
}
