package dev.hornbeamwheel.core.host.buffers;

/**
 * Limits on the bytes that a host buffers for its callers: bodies of requests, and responses that
 * the callers have not accepted.
 *
 * @param pauseBytes from this number of bytes on, only one body is read at a time
 * @param maxBytes number of bytes beyond which requests with a body are refused
 */
public record BufferLimits(long pauseBytes, long maxBytes) {
  /** Limits that never apply. */
  private static final BufferLimits UNLIMITED =
      new BufferLimits(Long.MAX_VALUE / 2, Long.MAX_VALUE / 2);

  /** Checks the limits. */
  public BufferLimits {
    if (pauseBytes < 0 || maxBytes < pauseBytes) {
      throw new IllegalArgumentException(
          "pauseBytes must be from 0 to maxBytes: " + pauseBytes + ", " + maxBytes);
    }
  }

  /** Returns the limits of a host that bounds nothing. */
  public static BufferLimits unlimited() {
    return UNLIMITED;
  }

  /**
   * Returns the limits of a host with a budget. Reads pause at half of it, so that the other half
   * is left for the body that is read on and for responses.
   */
  public static BufferLimits of(long maxBytes) {
    return new BufferLimits(maxBytes / 2, maxBytes);
  }

  /** Returns whether the buffered bytes are limited. */
  public boolean limited() {
    return !equals(UNLIMITED);
  }
}
