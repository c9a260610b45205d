package dev.hornbeamwheel.standins.platform;

import dev.hornbeamwheel.platform.Bytes;
import dev.hornbeamwheel.platform.OperationId;
import dev.hornbeamwheel.platform.TableRow;
import dev.hornbeamwheel.platform.WriteResult;
import dev.hornbeamwheel.platform.http.HttpHeaders;
import dev.hornbeamwheel.standins.http.Exchanges;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.util.Base64;
import java.util.Deque;
import java.util.Optional;
import java.util.OptionalLong;

/** Serves {@code /table/rows}. */
final class TableHandler implements HttpHandler {
  private static final String OCTETS = "application/octet-stream";
  private static final String PREFIX = "/table/rows";

  private final TableStore table;
  private final RateLimit reads;
  private final RateLimit writes;
  private final PlatformFaults faults;

  TableHandler(TableStore table, RateLimit reads, RateLimit writes, PlatformFaults faults) {
    this.table = table;
    this.reads = reads;
    this.writes = writes;
    this.faults = faults;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) {
    String name = exchange.getRequestPath().substring(PREFIX.length());
    if (exchange.getRequestMethod().equals(Methods.GET)) {
      if (!reads.tryAcquire()) {
        Exchanges.problem(exchange, StatusCodes.TOO_MANY_REQUESTS, "too many reads a second");
      } else if (name.isEmpty()) {
        list(exchange);
      } else {
        read(exchange, name.substring(1));
      }
    } else if (exchange.getRequestMethod().equals(Methods.PUT) && name.length() > 1) {
      prepareWrite(exchange, name.substring(1));
    } else {
      Exchanges.problem(exchange, StatusCodes.METHOD_NOT_ALLOWED, "use GET, or PUT on a row");
    }
  }

  private void list(HttpServerExchange exchange) {
    Deque<String> prefix = exchange.getQueryParameters().get("prefix");
    Exchanges.send(
        exchange,
        StatusCodes.OK,
        table.list(prefix == null ? "" : prefix.peek()).stream().map(RowJson::of).toList());
  }

  private void read(HttpServerExchange exchange, String name) {
    Optional<TableRow> row = table.read(name);
    if (row.isEmpty()) {
      Exchanges.problem(exchange, StatusCodes.NOT_FOUND, "no such row");
      return;
    }
    version(exchange, row.get().version());
    Exchanges.header(exchange, HttpHeaders.OPERATION_ID, row.get().operation().value());
    Exchanges.send(exchange, StatusCodes.OK, OCTETS, row.get().value().toArray());
  }

  private void prepareWrite(HttpServerExchange exchange, String name) {
    String operation = Exchanges.header(exchange, HttpHeaders.OPERATION_ID);
    OptionalLong expected = expectedVersion(exchange);
    if (operation.isBlank() || expected.isEmpty()) {
      Exchanges.problem(
          exchange,
          StatusCodes.BAD_REQUEST,
          "a write needs Hbw-Operation-Id and either If-Match: \"version\" or If-None-Match: *");
    } else if (!writes.tryAcquire()) {
      Exchanges.problem(exchange, StatusCodes.TOO_MANY_REQUESTS, "too many writes a second");
    } else {
      exchange
          .getRequestReceiver()
          .receiveFullBytes(
              (received, value) ->
                  write(received, name, expected.getAsLong(), OperationId.of(operation), value));
    }
  }

  private void write(
      HttpServerExchange exchange,
      String name,
      long expected,
      OperationId operation,
      byte[] value) {
    WriteResult result = table.write(name, expected, operation, Bytes.copyOf(value));
    if (faults.losesWriteAnswer()) {
      Exchanges.abort(exchange);
    } else if (result instanceof WriteResult.Written written) {
      version(exchange, written.version());
      Exchanges.send(exchange, StatusCodes.OK, new VersionJson(written.version()));
    } else {
      WriteResult.Conflict conflict = (WriteResult.Conflict) result;
      version(exchange, conflict.currentVersion());
      Exchanges.header(exchange, HttpHeaders.OPERATION_ID, conflict.currentOperation().value());
      Exchanges.problem(exchange, StatusCodes.PRECONDITION_FAILED, "the row has another version");
    }
  }

  private static OptionalLong expectedVersion(HttpServerExchange exchange) {
    if (Exchanges.header(exchange, "If-None-Match").equals("*")) {
      return OptionalLong.of(0);
    }
    String digits = Exchanges.header(exchange, "If-Match").replace("\"", "");
    boolean number = digits.matches("[1-9][0-9]{0,17}");
    return number ? OptionalLong.of(Long.parseLong(digits)) : OptionalLong.empty();
  }

  private static void version(HttpServerExchange exchange, long version) {
    exchange.getResponseHeaders().put(Headers.ETAG, "\"" + version + "\"");
  }

  /** The body of the answer to a write. */
  record VersionJson(long version) {}

  /** A row in a listing; the value is Base64. */
  record RowJson(String name, long version, String operation, String value) {
    static RowJson of(TableRow row) {
      return new RowJson(
          row.name(),
          row.version(),
          row.operation().value(),
          Base64.getEncoder().encodeToString(row.value().toArray()));
    }
  }
}
