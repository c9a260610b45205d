package dev.hornbeamwheel.core.dispatch;

import dev.hornbeamwheel.core.model.UpstreamId;

/**
 * What members know of how much an upstream bears.
 *
 * <p>Of two views the one with the greater {@code coldStarts} is the later; of equal ones the one
 * with the greater rate.
 *
 * @param upstream the upstream
 * @param incarnation incarnation of the upstream; zero if unknown
 * @param coldStarts number of times that the upstream was found cold
 * @param ratePerSecond requests a second that it has been shown to bear
 * @param warm whether it has reached its full rate
 */
public record WarmUpState(
    UpstreamId upstream, long incarnation, long coldStarts, double ratePerSecond, boolean warm) {}
