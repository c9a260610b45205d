package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.model.ServiceId;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/** Which upstreams may own keys, and which ranges are to leave their owners. */
final class OwnerEligibility {
  /** Keys of a data centre that is cut off stay there for so long, in milliseconds. */
  static final long UNREACHABLE_GRACE_MILLIS = 7_000;

  private final Catalog catalog;
  private final UpstreamFailureDetector failureDetector;
  private final UnreachableDataCentres unreachableDataCentres;

  OwnerEligibility(
      Catalog catalog, UpstreamFailureDetector contact, UnreachableDataCentres cutOff) {
    this.catalog = catalog;
    this.failureDetector = contact;
    this.unreachableDataCentres = cutOff;
  }

  /** Returns the upstreams that may own keys: those that answer, or all if none does. */
  List<UpstreamRegistration> eligible(long nowMillis, ServiceId service) {
    Predicate<UpstreamRegistration> silent =
        entry -> failureDetector.suspected(nowMillis, entry.incarnation());
    List<UpstreamRegistration> usable = catalog.usable(service);
    List<UpstreamRegistration> answering = usable.stream().filter(silent.negate()).toList();
    return answering.isEmpty() ? usable : answering;
  }

  /** Returns whether a range is to get another owner: the present one is gone, leaving or lost. */
  boolean needsNewOwner(long nowMillis, OwnedRange range) {
    KeyOwner owner = range.assignment().owner();
    if (range.fenced() || catalog.superseded(owner.incarnation(), owner.address())) {
      return true;
    }
    Optional<UpstreamRegistration> entry = catalog.upstream(owner.incarnation().id());
    if (entry.isEmpty() || !catalog.usable(entry.get())) {
      return true;
    }
    if (!failureDetector.suspected(nowMillis, owner.incarnation())) {
      return false;
    }
    return unreachableDataCentres.contains(owner)
        ? unreachableDataCentres.unreachableMillis(nowMillis, owner) > UNREACHABLE_GRACE_MILLIS
        : nowMillis > range.ownerGrants().latestExpiryMillis() - KeyedService.PLAN_INTERVAL_MILLIS;
  }
}
