package dev.hornbeamwheel.core.host.request;

import dev.hornbeamwheel.core.host.catalog.Route;
import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.HashSet;
import java.util.OptionalInt;
import java.util.Set;

/** A request on its way; mutable, part of {@link RequestFlow}. */
final class Flight {
  /** Where a request is. */
  enum Stage {
    /** The coordinator was asked for a slot. */
    ASKING,
    /** An upstream has the request. */
    RUNNING
  }

  final RequestRef ref;
  final RequestHead head;
  final Route route;
  final ServiceId service;
  final boolean keyed;
  final long arrivedMillis;
  final long deadlineMillis;
  final long targetMillis;
  final Set<UpstreamId> avoid = new HashSet<>();
  Stage stage = Stage.ASKING;
  long ask;
  long askedMillis;
  long startedMillis;
  boolean byCoordinator;
  boolean callerLeft;
  boolean mayHaveRun;
  int sends;
  int runs;
  UpstreamRegistration upstream;
  long fence;

  Flight(
      RequestRef ref,
      RequestHead head,
      Route route,
      ServiceId service,
      boolean keyed,
      long arrivedMillis,
      long targetMillis) {
    this.ref = ref;
    this.head = head;
    this.route = route;
    this.service = service;
    this.keyed = keyed;
    this.arrivedMillis = arrivedMillis;
    this.targetMillis = targetMillis;
    this.deadlineMillis = arrivedMillis + Math.min(head.deadlineMillis(), route.timeoutMillis());
  }

  /** Returns the key, or empty if the service is not divided by key. */
  OptionalInt key() {
    return keyed ? head.key() : OptionalInt.empty();
  }

  boolean repeatable() {
    return route.kind().repeatable();
  }
}
