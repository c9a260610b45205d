package dev.hornbeamwheel.router.http;

import dev.hornbeamwheel.core.routing.Outcome;
import dev.hornbeamwheel.core.routing.ProblemKind;
import io.undertow.util.StatusCodes;

/** HTTP status of a request that routing ended without a whole answer. */
final class RoutingStatus {
  private RoutingStatus() {}

  static int of(ProblemKind problem, Outcome outcome) {
    return switch (problem) {
      case UNKNOWN_SERVICE -> StatusCodes.NOT_FOUND;
      case KEY_REQUIRED -> StatusCodes.BAD_REQUEST;
      case DEADLINE -> StatusCodes.GATEWAY_TIME_OUT;
      case DUPLICATE_RUNNING, DUPLICATE_COMPLETED, DUPLICATE_UNKNOWN -> StatusCodes.CONFLICT;
      case IDEMPOTENCY_KEY_REUSED -> StatusCodes.UNPROCESSABLE_ENTITY;
      default ->
          outcome == Outcome.NOT_RUN ? StatusCodes.SERVICE_UNAVAILABLE : StatusCodes.BAD_GATEWAY;
    };
  }
}
