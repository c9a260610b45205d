package dev.hornbeamwheel.core.config;

/**
 * What a freshly started upstream bears.
 *
 * @param initialRatePerSecond requests a second that it bears at first
 * @param fullRatePerSecond requests a second that it bears when warm
 * @param warmUpMillis least time from the first completion to the full rate
 */
public record ColdStart(double initialRatePerSecond, double fullRatePerSecond, long warmUpMillis) {}
