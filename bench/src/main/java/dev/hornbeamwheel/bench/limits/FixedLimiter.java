package dev.hornbeamwheel.bench.limits;

import java.util.Arrays;

/** Gives each router a fixed part of the contract, whatever its demand. */
final class FixedLimiter implements Limiter {
  private final double rate;
  private final double burst;
  private final double[] tokens;
  private final boolean[] lost;

  /** Returns a limiter whose routers get {@code part} of the contract each. */
  FixedLimiter(int routers, Scenario.Numbers numbers, double part) {
    this.rate = numbers.rate() * part;
    this.burst = Math.max(1, numbers.burst() * part);
    this.tokens = new double[routers];
    this.lost = new boolean[routers];
    Arrays.fill(tokens, burst);
  }

  @Override
  public void advance(long toMillis) {
    for (int router = 0; router < tokens.length; router++) {
      tokens[router] = Math.min(burst, tokens[router] + rate / 1000);
    }
  }

  @Override
  public boolean admit(int router) {
    if (lost[router] || tokens[router] < 1) {
      return false;
    }
    tokens[router]--;
    return true;
  }

  @Override
  public void finished(int router) {}

  @Override
  public void lose(int router) {
    lost[router] = true;
  }

  @Override
  public void cutOff(int centre) {}

  @Override
  public long messages() {
    return 0;
  }

  @Override
  public long writes() {
    return 0;
  }
}
