package dev.hornbeamwheel.controller;

import dev.hornbeamwheel.core.model.Incarnation;
import dev.hornbeamwheel.core.ownership.UpstreamOrder;
import dev.hornbeamwheel.core.ownership.UpstreamReply;
import dev.hornbeamwheel.platform.Bytes;
import dev.hornbeamwheel.platform.HostListResult;
import dev.hornbeamwheel.platform.ListResult;
import dev.hornbeamwheel.platform.ObjectResult;
import dev.hornbeamwheel.platform.ObjectStore;
import dev.hornbeamwheel.platform.OperationId;
import dev.hornbeamwheel.platform.OrderResult;
import dev.hornbeamwheel.platform.ReadResult;
import dev.hornbeamwheel.platform.TableClient;
import dev.hornbeamwheel.platform.TableRow;
import dev.hornbeamwheel.platform.WriteResult;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** A platform in memory, and upstreams that obey each order; answers can be scripted. */
final class FakePlatform implements TableClient {
  final Map<String, TableRow> rows = new ConcurrentHashMap<>();
  final Map<String, Bytes> objects = new ConcurrentHashMap<>();
  final List<List<UpstreamOrder>> orders = new CopyOnWriteArrayList<>();
  volatile Optional<WriteResult> nextWrite = Optional.empty();
  volatile Optional<ReadResult> nextRead = Optional.empty();
  volatile boolean upstreamsReachable = true;

  PlatformServices services() {
    return new PlatformServices(
        this,
        new Objects(),
        () -> done(new HostListResult.Hosts(List.of())),
        (address, batch) -> done(obey(batch)),
        () -> {});
  }

  OrderResult obey(List<UpstreamOrder> batch) {
    orders.add(batch);
    return upstreamsReachable
        ? new OrderResult.Replied(batch.stream().map(FakePlatform::reply).toList())
        : new OrderResult.Unreachable("scripted");
  }

  private static UpstreamReply reply(UpstreamOrder order) {
    long set = order instanceof UpstreamOrder.Replace replace ? replace.setVersion() : 0;
    return new UpstreamReply(
        order.cell(),
        order.orderId(),
        Incarnation.of(1),
        System.nanoTime() / 1_000_000,
        UpstreamReply.Outcome.DONE,
        set,
        0);
  }

  @Override
  public CompletableFuture<ReadResult> read(String name) {
    if (nextRead.isPresent()) {
      return done(nextRead.get());
    }
    TableRow row = rows.get(name);
    return done(row == null ? new ReadResult.Absent() : new ReadResult.Found(row));
  }

  @Override
  public CompletableFuture<ListResult> list(String prefix) {
    return done(new ListResult.Rows(List.copyOf(rows.values())));
  }

  @Override
  public synchronized CompletableFuture<WriteResult> write(
      String name, long expectedVersion, Bytes value, OperationId operation) {
    if (nextWrite.isPresent()) {
      return done(nextWrite.get());
    }
    TableRow present = rows.get(name);
    long version = present == null ? 0 : present.version();
    if (version != expectedVersion) {
      OperationId current = present == null ? OperationId.NONE : present.operation();
      return done(new WriteResult.Conflict(version, current));
    }
    rows.put(name, new TableRow(name, version + 1, operation, value));
    return done(new WriteResult.Written(version + 1));
  }

  /** Objects by name. */
  final class Objects implements ObjectStore {
    @Override
    public CompletableFuture<ObjectResult> read(String name) {
      Bytes value = objects.get(name);
      return done(value == null ? new ObjectResult.Absent() : new ObjectResult.Found(value));
    }

    @Override
    public CompletableFuture<ObjectResult> store(String name, Bytes value) {
      objects.put(name, value);
      return done(new ObjectResult.Stored());
    }
  }

  private static <T> CompletableFuture<T> done(T value) {
    return CompletableFuture.completedFuture(value);
  }
}
