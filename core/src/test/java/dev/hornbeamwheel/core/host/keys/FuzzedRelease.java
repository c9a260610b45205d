package dev.hornbeamwheel.core.host.keys;

import java.util.Optional;

/** A release, which uses a new connection, so that its answer is always its own. */
final class FuzzedRelease implements FuzzedOrder {
  private final KeyedServiceFuzz fuzz;
  private final KeyEffect.Release release;

  FuzzedRelease(KeyedServiceFuzz fuzz, KeyEffect.Release release) {
    this.fuzz = fuzz;
    this.release = release;
  }

  @Override
  public void arrived() {
    fuzz.oracle.reached(release.upstream(), release.range());
  }

  @Override
  public boolean needsConnection() {
    return true;
  }

  @Override
  public Optional<OrderResult> execute(FakeUpstream upstream) {
    return Optional.of(upstream.release(release));
  }
}
