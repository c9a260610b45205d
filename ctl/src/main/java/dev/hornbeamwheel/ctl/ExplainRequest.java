package dev.hornbeamwheel.ctl;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** Explains from log files what became of a request, and what happened around it. */
final class ExplainRequest {
  /** How long before the end of a request its surroundings are looked at, in milliseconds. */
  private static final long BEFORE_MILLIS = 5_000;

  /** How long around an attempt others at the same upstream count, in milliseconds. */
  private static final long NEAR_MILLIS = 1_000;

  private static final Pattern MOVE = Pattern.compile("(\\d+)-(\\d+) to .*");
  private static final List<String> LEASE = List.of("lease-lost", "lease-won");
  private static final List<String> OF_ITS_HOST =
      List.of("started", "coordinator-lost", "coordinator-joined", "store-away", "store-returned");

  private final String id;
  private final List<Path> files;
  private final PrintStream out;

  private ExplainRequest(String id, List<Path> files, PrintStream out) {
    this.id = id;
    this.files = files;
    this.out = out;
  }

  /**
   * Prints what the files tell of a request; fails if they have no line of it.
   *
   * @param id the caller's id of the attempt
   */
  static CtlExitCode run(String id, List<Path> files, PrintStream out, PrintStream err) {
    try {
      return new ExplainRequest(id, files, out).run(err);
    } catch (IOException e) {
      err.println("a log file cannot be read; check its path and rights: " + e.getMessage());
      return CtlExitCode.FAILURE;
    }
  }

  private CtlExitCode run(PrintStream err) throws IOException {
    List<LogLine> own = matching(line -> line.text("request").equals(id));
    if (own.isEmpty()) {
      err.println(
          "no line of request "
              + id
              + "; give the logs of all hosts, and see lines-left-out for lines that were dropped");
      return CtlExitCode.FAILURE;
    }
    own.forEach(this::print);
    LogLine last = own.get(own.size() - 1);
    printSection("at its host and coordinator, in the 5 s before", around(last));
    printSection("owners of its key, in the 5 s before", moves(last));
    printSection("other failed attempts at its upstream, within 1 s", neighbours(last));
    printSection("upstreams that ended while they ran the same request", crashes(last));
    printRefused(last);
    out.println("cause: " + cause(last));
    return CtlExitCode.OK;
  }

  private List<LogLine> matching(Predicate<LogLine> wanted) throws IOException {
    List<LogLine> found = new ArrayList<>();
    for (Path file : files) {
      try (Stream<String> lines = Files.lines(file)) {
        lines.map(LogLine::parse).flatMap(Optional::stream).filter(wanted).forEach(found::add);
      }
    }
    found.sort(Comparator.comparingLong(LogLine::atMillis));
    return found;
  }

  private List<LogLine> around(LogLine last) throws IOException {
    return matching(
        line ->
            before(line, last)
                && (LEASE.contains(line.event())
                    || (line.host().equals(last.host()) && OF_ITS_HOST.contains(line.event()))));
  }

  private List<LogLine> moves(LogLine last) throws IOException {
    long key = last.fields().path("key").asLong(-1);
    return matching(
        line ->
            before(line, last)
                && line.event().equals("keys-move")
                && line.text("service").equals(last.text("service"))
                && holds(line.text("subject"), key));
  }

  private List<LogLine> neighbours(LogLine last) throws IOException {
    String upstream = last.text("upstream");
    return upstream.isEmpty()
        ? List.of()
        : matching(
            line ->
                line.event().equals("attempt-failed")
                    && line.text("upstream").equals(upstream)
                    && !line.text("request").equals(id)
                    && Math.abs(line.atMillis() - last.atMillis()) <= NEAR_MILLIS);
  }

  private List<LogLine> crashes(LogLine last) throws IOException {
    String fingerprint = last.text("fingerprint");
    return fingerprint.isEmpty()
        ? List.of()
        : matching(
            line ->
                line.event().equals("upstream-crashed")
                    && line.text("fingerprint").equals(fingerprint));
  }

  private void printRefused(LogLine last) throws IOException {
    if (!last.event().equals("request-failed")) {
      return;
    }
    long others =
        matching(
                line ->
                    line.event().equals("request-failed")
                        && line.text("service").equals(last.text("service"))
                        && line.text("reason").equals(last.text("reason"))
                        && Math.abs(line.atMillis() - last.atMillis()) <= NEAR_MILLIS)
            .size();
    out.println(
        "requests of the service that failed for this reason, within 1 s, with it: " + others);
  }

  private static boolean before(LogLine line, LogLine last) {
    return line.atMillis() <= last.atMillis() && line.atMillis() >= last.atMillis() - BEFORE_MILLIS;
  }

  private static boolean holds(String subject, long key) {
    Matcher move = MOVE.matcher(subject);
    return move.matches()
        && Long.parseLong(move.group(1)) <= key
        && key <= Long.parseLong(move.group(2));
  }

  private void printSection(String title, List<LogLine> lines) {
    if (!lines.isEmpty()) {
      out.println(title + ":");
      lines.forEach(this::print);
    }
  }

  private void print(LogLine line) {
    out.println(
        "  " + line.atMillis() + " " + line.host() + " " + line.event() + " " + line.fields());
  }

  private static String cause(LogLine last) {
    if (last.event().equals("request")) {
      return "it got its upstream's answer ("
          + last.text("outcome")
          + ") after "
          + last.number("ageMillis")
          + " ms, of which it waited "
          + last.number("waitedMillis")
          + " ms for a slot";
    }
    String reason = last.text("reason");
    return switch (last.text("answer")) {
      case "NO_ROOM" -> "refused and not run: " + reason + ", " + coordination(last);
      case "NOT_READY" -> "refused and not run: the host knew no configuration or upstreams yet";
      case "TIMED_OUT" -> "unknown outcome: upstream " + last.text("upstream") + " gave no answer";
      case "UPSTREAM_FAILED" ->
          "unknown outcome: upstream " + last.text("upstream") + " broke off: " + reason;
      case "QUARANTINED" ->
          "refused and not sent: upstreams ended while they ran the same request, fingerprint "
              + last.text("fingerprint")
              + "; "
              + reason;
      case "NO_ROUTE" -> "no route in configuration " + last.number("configuration");
      default -> "see the lines above";
    };
  }

  private static String coordination(LogLine last) {
    long age = last.number("coordinatorAgeMillis");
    return "decided on a coordinator's word that was " + age + " ms old";
  }
}
