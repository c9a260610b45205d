package dev.hornbeamwheel.core.host.request;

import dev.hornbeamwheel.core.host.catalog.Route;
import dev.hornbeamwheel.core.host.catalog.UpstreamRegistration;
import dev.hornbeamwheel.core.host.organisations.CallerIdentity;
import dev.hornbeamwheel.core.model.OrganisationId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.TrafficClass;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/** The mutable state of a request without a final response; confined to {@link RequestFlow}. */
final class InFlightRequest {
  /** The processing state of a request. */
  enum State {
    /** A slot was requested from the coordinator. */
    AWAITING_SLOT,
    /** The request was sent to an upstream. */
    RUNNING
  }

  final RequestRef ref;
  final RequestHead head;
  final CallerIdentity caller;
  final Route route;
  final ServiceId service;
  final boolean keyed;
  final long arrivedMillis;
  final long deadlineMillis;
  final long targetMillis;
  final Set<UpstreamId> excludedUpstreams = new HashSet<>();
  State state = State.AWAITING_SLOT;
  long slotRequestNumber;
  long slotRequestedMillis;
  boolean longWait;
  long sentMillis;
  boolean decidedByCoordinator;
  boolean callerDisconnected;
  boolean mayHaveRun;
  int sendCount;
  int possibleRunCount;
  UpstreamRegistration upstream;
  long fencingToken;

  InFlightRequest(
      RequestRef ref,
      RequestHead head,
      CallerIdentity caller,
      Route route,
      ServiceId service,
      boolean keyed,
      long arrivedMillis,
      long targetMillis) {
    this.ref = ref;
    this.head = head;
    this.caller = caller;
    this.route = route;
    this.service = service;
    this.keyed = keyed;
    this.arrivedMillis = arrivedMillis;
    this.targetMillis = targetMillis;
    this.deadlineMillis = arrivedMillis + Math.min(head.timeoutMillis(), route.timeoutMillis());
  }

  /** Returns the key, or empty if the service is not keyed. */
  OptionalInt key() {
    return keyed ? head.key() : OptionalInt.empty();
  }

  /** Returns the traffic class, by which work and limits are accounted. */
  TrafficClass trafficClass() {
    return new TrafficClass(route.id(), organisation());
  }

  /** Returns the organisation of the caller, or empty if it is not known. */
  Optional<OrganisationId> organisation() {
    return caller.organisation();
  }

  /** Returns the priority, the organisation's before the route's; zero is served first. */
  int priority() {
    return caller instanceof CallerIdentity.Member member
        ? member.declaration().priority().orElse(route.priority())
        : route.priority();
  }

  boolean idempotent() {
    return route.kind().repeatable();
  }
}
