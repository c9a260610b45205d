package dev.hornbeamwheel.core.host.keys;

import dev.hornbeamwheel.core.host.catalog.Catalog;
import dev.hornbeamwheel.core.host.catalog.UpstreamEntry;
import dev.hornbeamwheel.core.model.ServiceId;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/** Which upstreams may own keys, and which ranges are to leave their owners. */
final class OwnerFitness {
  /** Keys of a data centre that is cut off stay there for so long, in milliseconds. */
  static final long CUT_OFF_PATIENCE_MILLIS = 7_000;

  private final Catalog catalog;
  private final UpstreamContact contact;
  private final CutOffDataCentres cutOff;

  OwnerFitness(Catalog catalog, UpstreamContact contact, CutOffDataCentres cutOff) {
    this.catalog = catalog;
    this.contact = contact;
    this.cutOff = cutOff;
  }

  /** Returns the upstreams that may own keys: those that answer, or all if none does. */
  List<UpstreamEntry> fit(long nowMillis, ServiceId service) {
    Predicate<UpstreamEntry> silent = entry -> contact.suspect(nowMillis, entry.life());
    List<UpstreamEntry> usable = catalog.usable(service);
    List<UpstreamEntry> answering = usable.stream().filter(silent.negate()).toList();
    return answering.isEmpty() ? usable : answering;
  }

  /** Returns whether a range is to get another owner: the present one is gone, leaving or lost. */
  boolean orphaned(long nowMillis, OwnedRange range) {
    KeyOwner owner = range.assignment().owner();
    if (range.fenced() || catalog.ended(owner.life(), owner.address())) {
      return true;
    }
    Optional<UpstreamEntry> entry = catalog.upstream(owner.life().id());
    if (entry.isEmpty() || !catalog.usable(entry.get())) {
      return true;
    }
    if (!contact.suspect(nowMillis, owner.life())) {
      return false;
    }
    return cutOff.contains(owner)
        ? cutOff.lastsFor(nowMillis, owner) > CUT_OFF_PATIENCE_MILLIS
        : nowMillis > range.owner().endsBy() - KeyedService.PLAN_MILLIS;
  }
}
