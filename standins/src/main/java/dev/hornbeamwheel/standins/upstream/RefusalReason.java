package dev.hornbeamwheel.standins.upstream;

import io.undertow.util.StatusCodes;
import java.util.Locale;

/** Why a request was refused without being run. */
enum RefusalReason {
  SHED(StatusCodes.SERVICE_UNAVAILABLE),
  DRAINING(StatusCodes.SERVICE_UNAVAILABLE),
  EXPIRED(StatusCodes.SERVICE_UNAVAILABLE),
  CANCELLED(StatusCodes.SERVICE_UNAVAILABLE),
  NOT_OWNER(StatusCodes.CONFLICT),
  STALE_EPOCH(StatusCodes.CONFLICT),
  MALFORMED(StatusCodes.BAD_REQUEST);

  private final int status;

  RefusalReason(int status) {
    this.status = status;
  }

  int status() {
    return status;
  }

  /** Returns the value of the header {@code Hbw-Reason}. */
  String text() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
