package dev.hornbeamwheel.host;

import dev.hornbeamwheel.standins.site.ScriptedUpstreamStandin;
import dev.hornbeamwheel.standins.site.ScriptedUpstreamStandin.Ending;
import dev.hornbeamwheel.standins.site.ScriptedUpstreamStandin.Reply;
import dev.hornbeamwheel.standins.site.ScriptedUpstreamStandin.Request;
import java.util.Arrays;
import java.util.stream.Stream;

/**
 * A way in which a successful response stops within its head.
 *
 * @param framing how the response marks the end of its body
 * @param ending how its connection ends
 * @param reused whether the connection has carried a whole response before
 */
record CutHead(Framing framing, Ending ending, boolean reused) {
  private static final String BODY = "booked";

  /** How a response marks the end of its body. */
  enum Framing {
    LENGTH("Content-Length: " + BODY.length()),
    EMPTY("Content-Length: 0"),
    CHUNKED("Transfer-Encoding: chunked"),
    CLOSE("Connection: close");

    private final String headerLine;

    Framing(String headerLine) {
      this.headerLine = headerLine;
    }
  }

  static Stream<CutHead> all() {
    return Arrays.stream(Framing.values())
        .flatMap(
            framing ->
                Stream.of(Ending.CLOSE, Ending.RESET)
                    .flatMap(
                        ending ->
                            Stream.of(
                                new CutHead(framing, ending, false),
                                new CutHead(framing, ending, true))));
  }

  /** Returns the reply whose head stops after some bytes. */
  Reply reply(Request request, int bytes) {
    return reused && request.position() == 1
        ? Reply.keep(request.echo(200, BODY, ScriptedUpstreamStandin.SIGNATURE))
        : new Reply(head(request.attemptId()).substring(0, bytes), ending);
  }

  /** Returns whether the reply to a request is cut. */
  boolean cuts(Request request) {
    return !reused || request.position() > 1;
  }

  /** Returns the length of a head for attempts with ids of a length. */
  int headBytes(int idLength) {
    return head("x".repeat(idLength)).length();
  }

  private String head(String attemptId) {
    return "HTTP/1.1 200 OK\r\n"
        + framing.headerLine
        + "\r\n"
        + ScriptedUpstreamStandin.ATTEMPT_HEADER
        + ": "
        + attemptId
        + "\r\n"
        + ScriptedUpstreamStandin.SIGNATURE
        + "\r\n\r\n";
  }
}
