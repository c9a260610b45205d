package dev.hornbeamwheel.core.host.keys;

/**
 * Fencing tokens that were reserved by a write of the table and that no grant has yet.
 *
 * @param first first token
 * @param count number of consecutive tokens
 */
record FencingTokens(long first, int count) {
  /** Number of tokens that each write reserves; a range whose tokens are used up gets others. */
  private static final int RESERVED = 8;

  private static final FencingTokens NONE = new FencingTokens(0, 0);

  /** Returns no tokens. */
  static FencingTokens none() {
    return NONE;
  }

  /** Returns the tokens that a write reserves from a token on. */
  static FencingTokens reservedFrom(long first) {
    return new FencingTokens(first, RESERVED);
  }

  /** Returns the token after the last one. */
  long next() {
    return first + count;
  }

  FencingTokens withoutFirst() {
    return new FencingTokens(first + 1, count - 1);
  }
}
