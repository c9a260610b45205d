package dev.hornbeamwheel.router.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.hornbeamwheel.core.routing.Outcome;
import dev.hornbeamwheel.core.routing.ProblemKind;
import java.nio.charset.StandardCharsets;

/**
 * The JSON body of a refusal or failure, as RFC 9457 describes it.
 *
 * @param type reference to the section of the troubleshooting page
 * @param title stable name of the problem
 * @param status HTTP status
 * @param detail what the caller can do
 * @param outcome {@code completed}, {@code not-run} or {@code unknown}
 * @param requestId the request, or null if none was assigned
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
record ProblemDocument(
    String type, String title, int status, String detail, String outcome, String requestId) {
  /** Media type of the document. */
  static final String MEDIA_TYPE = "application/problem+json";

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String PAGE = "docs/TROUBLESHOOTING.md#";

  /** Returns the document for a request that is refused before it is routed. */
  static ProblemDocument of(RequestProblem problem, String requestId) {
    return new ProblemDocument(
        PAGE + problem.slug(),
        problem.slug(),
        problem.status(),
        problem.remedy(),
        OutcomeText.of(Outcome.NOT_RUN),
        requestId);
  }

  /** Returns the document for a request that routing ended without a whole answer. */
  static ProblemDocument of(ProblemKind problem, Outcome outcome, String requestId) {
    return new ProblemDocument(
        PAGE + problem.slug(),
        problem.slug(),
        RoutingStatus.of(problem, outcome),
        problem.remedy(),
        OutcomeText.of(outcome),
        requestId);
  }

  /** Returns the document as UTF-8 JSON. */
  byte[] bytes() {
    try {
      return MAPPER.writeValueAsString(this).getBytes(StandardCharsets.UTF_8);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a record of texts and numbers is always serializable", e);
    }
  }
}
