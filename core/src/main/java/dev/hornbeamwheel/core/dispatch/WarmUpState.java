package dev.hornbeamwheel.core.dispatch;

import dev.hornbeamwheel.core.model.UpstreamId;

/**
 * Describes how far an upstream has warmed up.
 *
 * <p>Of two states, the one with more {@code coldStarts} is newer; with equal counts, the one with
 * the higher rate.
 *
 * @param upstream the upstream
 * @param incarnation incarnation of the upstream; zero if unknown
 * @param coldStarts number of times that the upstream was found to be cold
 * @param ratePerSecond requests per second that it has been shown to sustain
 * @param warm whether it has reached its full rate
 */
public record WarmUpState(
    UpstreamId upstream, long incarnation, long coldStarts, double ratePerSecond, boolean warm) {}
