package dev.hornbeamwheel.core.host.catalog;

/**
 * Numbers whose most significant part is the era of the store in which they were issued: terms and
 * fencing tokens.
 *
 * <p>Numbers of a later era are greater than all of an earlier one. In era 0 they count from 1, as
 * in stores that do not name an era.
 */
public final class EraNumber {
  /** Number of bits for numbers within an era. */
  private static final int COUNTER_BITS = 40;

  /** Greatest era; numbers of all eras up to it are exact in a JSON document (below 2^53). */
  public static final long MAX_ERA = (1L << 13) - 1;

  /**
   * Numbers that may be issued for each version of the store. A write, which makes a new version,
   * issues one term, or the fencing tokens that it reserves, of which there are fewer.
   */
  public static final long NUMBERS_PER_VERSION = 16;

  /** Version numbers of the store are below this, so that counters fit below the era. */
  private static final long MAX_VERSION_NUMBER = (1L << COUNTER_BITS) / NUMBERS_PER_VERSION;

  private EraNumber() {}

  /** Returns the era in which a number was issued. */
  public static long eraOf(long number) {
    return number >>> COUNTER_BITS;
  }

  /**
   * Returns a number greater than all that were issued up to a version of the store, even if the
   * rows that named them are lost.
   */
  public static long firstAfter(StoreVersion version) {
    if (version.number() >= MAX_VERSION_NUMBER) {
      throw new IllegalArgumentException("the store's version is too large for terms: " + version);
    }
    return (version.era() << COUNTER_BITS) + version.number() * NUMBERS_PER_VERSION + 1;
  }
}
