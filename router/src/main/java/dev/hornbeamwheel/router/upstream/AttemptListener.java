package dev.hornbeamwheel.router.upstream;

import dev.hornbeamwheel.core.routing.AttemptOutcome;
import java.io.IOException;

/** Learns how an attempt goes; called on the threads of the HTTP client, one call at a time. */
public interface AttemptListener {
  /**
   * An answer with the request's own id has begun.
   *
   * @return whether to read its body; false ends the attempt as cancelled
   */
  boolean started(AnswerHead head);

  /**
   * Body bytes arrived.
   *
   * @throws IOException if the caller cannot be reached any more
   */
  void body(byte[] buffer, int length) throws IOException;

  /**
   * The attempt ended; called exactly once.
   *
   * @param incarnation incarnation of the upstream; zero if it gave none or the attempt was
   *     cancelled, since a cancelled answer may be older than the upstream's last start
   */
  void finished(AttemptOutcome outcome, long incarnation);
}
