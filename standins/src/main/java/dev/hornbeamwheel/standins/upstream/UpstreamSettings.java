package dev.hornbeamwheel.standins.upstream;

/**
 * How all upstreams of this process behave.
 *
 * @param serviceMillis time that a request takes in its slot
 * @param queueLimit requests that wait for a slot before more are shed
 * @param loadLagMillis age of the load and health reports
 * @param downloadBytes length of a download whose path names none
 * @param warm whether upstreams are warm when this process starts
 */
public record UpstreamSettings(
    long serviceMillis, int queueLimit, long loadLagMillis, int downloadBytes, boolean warm) {}
