package dev.hornbeamwheel.router.http;

import dev.hornbeamwheel.core.config.Contract;
import dev.hornbeamwheel.core.config.Service;
import dev.hornbeamwheel.core.model.IdempotencyKey;
import dev.hornbeamwheel.core.model.Key;
import dev.hornbeamwheel.core.model.RequestId;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.regex.MatchResult;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Checks the head of a caller's request, before its body is read. */
final class RequestChecker {
  /** Greatest sum of header names and values, in bytes. */
  private static final int MAX_HEADER_BYTES = 16_384;

  /** Greatest length of a key, in characters. */
  private static final int MAX_KEY_LENGTH = 200;

  /** Longest time that a caller may give a request, in milliseconds. */
  private static final long MAX_TIMEOUT_MILLIS = 600_000;

  private static final Pattern TOKEN_TEXT = Pattern.compile("[A-Za-z0-9._-]{1,200}");
  private static final Pattern REQUEST_ID = Pattern.compile("[A-Za-z0-9._-]{1,128}");
  private static final Pattern ENCODED = Pattern.compile("%([0-9a-fA-F]{2})");
  private static final String CONTROL = ".well-known/hornbeamwheel";
  private static final String BEARER = "Bearer ";
  private static final Set<String> NON_IDEMPOTENT_METHODS = Set.of("POST", "PATCH");

  private final Supplier<RequestId> newIds;

  private RequestChecker(Supplier<RequestId> newIds) {
    this.newIds = newIds;
  }

  /** Returns a checker that draws an id for each request. */
  static RequestChecker drawing(Supplier<RequestId> newIds) {
    return new RequestChecker(newIds);
  }

  RequestCheck check(HttpServerExchange exchange, ContractDirectory directory) {
    HeaderMap headers = exchange.getRequestHeaders();
    if (headerBytes(headers) > MAX_HEADER_BYTES) {
      return new RequestCheck.Refused(RequestProblem.HEADERS_TOO_LARGE);
    }
    Optional<Contract> contract = bearerToken(headers).flatMap(directory::contract);
    if (contract.isEmpty()) {
      return new RequestCheck.Refused(RequestProblem.UNKNOWN_CONTRACT);
    }
    String path = exchange.getRequestURI();
    Optional<Service> service = directory.service(serviceName(path));
    if (service.isEmpty()) {
      return new RequestCheck.Refused(RequestProblem.UNKNOWN_SERVICE);
    }
    if (!contract.get().services().contains(service.get().id())) {
      return new RequestCheck.Refused(RequestProblem.SERVICE_NOT_IN_CONTRACT);
    }
    String target = target(exchange, path);
    return isControl(target)
        ? new RequestCheck.Refused(RequestProblem.RESERVED_PATH)
        : checkFields(exchange, contract.get(), service.get(), target);
  }

  private RequestCheck checkFields(
      HttpServerExchange exchange, Contract contract, Service service, String target) {
    HeaderMap headers = exchange.getRequestHeaders();
    String method = exchange.getRequestMethod().toString();
    boolean idempotent = !NON_IDEMPOTENT_METHODS.contains(method);
    Optional<RequestProblem> problem =
        keyProblem(headers, service)
            .or(() -> idempotencyProblem(headers, idempotent))
            .or(() -> requestIdProblem(headers))
            .or(() -> deadlineProblem(headers));
    if (problem.isPresent()) {
      return new RequestCheck.Refused(problem.get());
    }
    RequestId id = newIds.get();
    return new RequestCheck.Accepted(
        new CallerRequest(
            id,
            first(headers, CallerHeaders.REQUEST_ID).orElse(id.value()),
            contract.id(),
            service,
            first(headers, CallerHeaders.KEY).map(Key::of),
            method,
            target,
            idempotent,
            first(headers, CallerHeaders.IDEMPOTENCY_KEY).map(IdempotencyKey::of),
            first(headers, CallerHeaders.DEADLINE_MILLIS)
                .map(Long::parseLong)
                .orElse(service.defaultDeadlineMillis())));
  }

  private static Optional<RequestProblem> keyProblem(HeaderMap headers, Service service) {
    Optional<String> key = first(headers, CallerHeaders.KEY);
    if (key.isEmpty() || key.get().isBlank()) {
      return service.keyed() || key.isPresent()
          ? Optional.of(RequestProblem.MISSING_KEY)
          : Optional.empty();
    }
    return key.get().length() > MAX_KEY_LENGTH
        ? Optional.of(RequestProblem.KEY_TOO_LONG)
        : Optional.empty();
  }

  private static Optional<RequestProblem> idempotencyProblem(
      HeaderMap headers, boolean idempotent) {
    Optional<String> key = first(headers, CallerHeaders.IDEMPOTENCY_KEY);
    if (key.isEmpty()) {
      return idempotent ? Optional.empty() : Optional.of(RequestProblem.MISSING_IDEMPOTENCY_KEY);
    }
    return TOKEN_TEXT.matcher(key.get()).matches()
        ? Optional.empty()
        : Optional.of(RequestProblem.BAD_IDEMPOTENCY_KEY);
  }

  private static Optional<RequestProblem> requestIdProblem(HeaderMap headers) {
    return first(headers, CallerHeaders.REQUEST_ID)
        .filter(id -> !REQUEST_ID.matcher(id).matches())
        .map(id -> RequestProblem.BAD_REQUEST_ID);
  }

  private static Optional<RequestProblem> deadlineProblem(HeaderMap headers) {
    return first(headers, CallerHeaders.DEADLINE_MILLIS)
        .filter(text -> !isTimeout(text))
        .map(text -> RequestProblem.BAD_DEADLINE);
  }

  private static boolean isTimeout(String text) {
    try {
      long millis = Long.parseLong(text);
      return millis >= 1 && millis <= MAX_TIMEOUT_MILLIS;
    } catch (NumberFormatException e) {
      return false;
    }
  }

  /** Returns whether a path may lead to the control of an upstream, however it is written. */
  private static boolean isControl(String target) {
    String decoded = target;
    while (ENCODED.matcher(decoded).find()) {
      decoded = ENCODED.matcher(decoded).replaceAll(RequestChecker::decode);
    }
    return decoded.toLowerCase(Locale.ROOT).contains(CONTROL);
  }

  private static String decode(MatchResult encoded) {
    char character = (char) Integer.parseInt(encoded.group(1), 16);
    return Matcher.quoteReplacement(String.valueOf(character));
  }

  private static Optional<String> bearerToken(HeaderMap headers) {
    return first(headers, Headers.AUTHORIZATION)
        .filter(value -> value.startsWith(BEARER))
        .map(value -> value.substring(BEARER.length()).trim());
  }

  private static Optional<String> first(HeaderMap headers, HttpString name) {
    return Optional.ofNullable(headers.getFirst(name));
  }

  private static int headerBytes(HeaderMap headers) {
    int sum = 0;
    for (HeaderValues values : headers) {
      for (String value : values) {
        sum += values.getHeaderName().length() + value.length();
      }
    }
    return sum;
  }

  private static String serviceName(String path) {
    int end = path.indexOf('/', 1);
    return path.substring(Math.min(1, path.length()), end < 0 ? path.length() : end);
  }

  private static String target(HttpServerExchange exchange, String path) {
    int end = path.indexOf('/', 1);
    String rest = end < 0 ? "/" : path.substring(end);
    String query = exchange.getQueryString();
    return query.isEmpty() ? rest : rest + "?" + query;
  }
}
