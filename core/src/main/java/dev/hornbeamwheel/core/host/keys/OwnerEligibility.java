package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.model.ServiceId;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/** Decides which upstreams may own keys and which ranges need a new owner. */
final class OwnerEligibility {
  /** Time for which keys stay in a data centre that is unreachable, in milliseconds. */
  static final long UNREACHABLE_GRACE_MILLIS = 7_000;

  private final Catalog catalog;
  private final UpstreamFailureDetector detector;
  private final UnreachableDataCentres unreachable;

  OwnerEligibility(
      Catalog catalog, UpstreamFailureDetector contact, UnreachableDataCentres cutOff) {
    this.catalog = catalog;
    this.detector = contact;
    this.unreachable = cutOff;
  }

  /**
   * Returns the usable upstreams that are not suspected, or all usable ones if all are.
   *
   * <p>The registration of an upstream that has ended may remain for several heartbeats.
   */
  List<UpstreamRegistration> eligible(long nowMillis, ServiceId service) {
    Predicate<UpstreamRegistration> suspected =
        registration -> detector.suspected(nowMillis, registration.incarnation());
    List<UpstreamRegistration> usable =
        catalog.usable(service).stream()
            .filter(
                registration ->
                    !catalog.superseded(registration.incarnation(), registration.address()))
            .toList();
    List<UpstreamRegistration> responsive = usable.stream().filter(suspected.negate()).toList();
    return responsive.isEmpty() ? usable : responsive;
  }

  /**
   * Returns whether a range needs a new owner.
   *
   * <p>That is so if a greater fencing token was seen, or if the owner has stopped, takes no new
   * work or is considered lost.
   */
  boolean needsNewOwner(long nowMillis, OwnedRange range) {
    KeyOwner owner = range.assignment().owner();
    if (range.fenced() || catalog.superseded(owner.incarnation(), owner.address())) {
      return true;
    }
    Optional<UpstreamRegistration> registration = catalog.upstream(owner.incarnation().id());
    if (registration.isEmpty() || !catalog.usable(registration.get())) {
      return true;
    }
    if (!detector.suspected(nowMillis, owner.incarnation())) {
      return false;
    }
    return unreachable.contains(owner)
        ? unreachable.unreachableMillis(nowMillis, owner) > UNREACHABLE_GRACE_MILLIS
        : nowMillis > range.ownerGrants().latestExpiryMillis() - KeyedService.PLAN_INTERVAL_MILLIS;
  }
}
