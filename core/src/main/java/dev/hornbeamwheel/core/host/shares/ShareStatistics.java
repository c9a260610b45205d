package dev.hornbeamwheel.core.host.shares;

import dev.hornbeamwheel.core.model.ServiceId;

/**
 * This host's use of its share of a service.
 *
 * @param service the service
 * @param perSecond current share, in requests per second
 * @param leased whether the share is leased; otherwise it is the minimum share
 * @param refusals requests refused since the start because the share was used up
 */
public record ShareStatistics(ServiceId service, double perSecond, boolean leased, long refusals) {}
