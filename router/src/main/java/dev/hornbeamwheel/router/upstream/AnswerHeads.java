package dev.hornbeamwheel.router.upstream;

import dev.hornbeamwheel.core.routing.AttemptOutcome;
import dev.hornbeamwheel.core.routing.Refusal;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import okhttp3.Response;

/** Judges the head of an upstream's answer. */
final class AnswerHeads {
  private static final int OK = 200;
  private static final int PARTIAL_CONTENT = 206;
  private static final int CONFLICT = 409;
  private static final Pattern CONTENT_RANGE = Pattern.compile("bytes (\\d+)-(\\d+)/(\\d+)");

  private AnswerHeads() {}

  /** Returns the outcome that the head alone decides, if it decides one. */
  static Optional<AttemptOutcome> decided(AttemptSpec spec, Response response) {
    if (!spec.requestId().value().equals(response.header(UpstreamHeaders.REQUEST_ID))) {
      return Optional.of(new AttemptOutcome.MismatchedResponse());
    }
    if (response.header(UpstreamHeaders.OUTCOME) == null) {
      return Optional.of(new AttemptOutcome.MismatchedResponse());
    }
    if (UpstreamHeaders.NOT_RUN.equals(response.header(UpstreamHeaders.OUTCOME))) {
      return Optional.of(new AttemptOutcome.Refused(refusal(response)));
    }
    if (spec.validator().isPresent() && !resumes(spec, response)) {
      return Optional.of(
          new AttemptOutcome.TruncatedResponse(spec.resumeOffset(), spec.validator().get(), false));
    }
    return Optional.empty();
  }

  /** Returns the head that the caller is shown. */
  static AnswerHead of(AttemptSpec spec, Response response) {
    return new AnswerHead(
        spec.validator().isPresent() ? OK : response.code(),
        EndToEndHeaders.of(response.headers()),
        incarnation(response),
        strongValidator(response),
        length(spec, response));
  }

  static long incarnation(Response response) {
    String text = response.header(UpstreamHeaders.INCARNATION, "0");
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  private static Refusal refusal(Response response) {
    String reason = response.header(UpstreamHeaders.REASON, "");
    return switch (reason.toLowerCase(Locale.ROOT)) {
      case "draining" -> Refusal.DRAINING;
      case "not-owner" -> Refusal.NOT_OWNER;
      case "stale-epoch" -> Refusal.STALE_EPOCH;
      case "expired" -> Refusal.EXPIRED;
      default -> response.code() == CONFLICT ? Refusal.NOT_OWNER : Refusal.SHED;
    };
  }

  private static boolean resumes(AttemptSpec spec, Response response) {
    Matcher range = CONTENT_RANGE.matcher(response.header(UpstreamHeaders.CONTENT_RANGE, ""));
    return response.code() == PARTIAL_CONTENT
        && range.matches()
        && Long.parseLong(range.group(1)) == spec.resumeOffset()
        && spec.validator().get().equals(strongValidator(response));
  }

  private static String strongValidator(Response response) {
    String tag = response.header(UpstreamHeaders.ETAG);
    return tag == null || tag.startsWith("W/") ? null : tag;
  }

  private static long length(AttemptSpec spec, Response response) {
    String text = response.header(UpstreamHeaders.CONTENT_LENGTH);
    if (text == null || "HEAD".equals(spec.method())) {
      return -1;
    }
    return spec.resumeOffset() + Long.parseLong(text);
  }
}
