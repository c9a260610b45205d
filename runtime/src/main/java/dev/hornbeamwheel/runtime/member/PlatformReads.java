package dev.hornbeamwheel.runtime.member;

import dev.hornbeamwheel.core.membership.Seed;
import dev.hornbeamwheel.core.model.CellId;
import dev.hornbeamwheel.core.node.NodeEvent;
import dev.hornbeamwheel.platform.HostEntry;
import dev.hornbeamwheel.platform.HostList;
import dev.hornbeamwheel.platform.HostListResult;
import dev.hornbeamwheel.platform.ReadResult;
import dev.hornbeamwheel.platform.TableClient;
import dev.hornbeamwheel.platform.store.CellRowCodec;
import dev.hornbeamwheel.platform.store.ConfigurationReadResult;
import dev.hornbeamwheel.platform.store.ConfigurationStore;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

/** Reads the platform on behalf of a member and posts what it finds. */
public final class PlatformReads {
  private static final System.Logger LOGGER = System.getLogger(PlatformReads.class.getName());

  private final TableClient table;
  private final ConfigurationStore configurations;
  private final HostList hosts;
  private final NodeInbox inbox;
  private final CellRowCodec rows = CellRowCodec.create();
  private final AtomicLong configurationVersion = new AtomicLong(-1);
  private final AtomicLong failures = new AtomicLong();

  private PlatformReads(
      TableClient table, ConfigurationStore configurations, HostList hosts, NodeInbox inbox) {
    this.table = table;
    this.configurations = configurations;
    this.hosts = hosts;
    this.inbox = inbox;
  }

  /** Returns reads that post to an inbox. */
  public static PlatformReads create(
      TableClient table, ConfigurationStore configurations, HostList hosts, NodeInbox inbox) {
    return new PlatformReads(table, configurations, hosts, inbox);
  }

  /** Reads the host list. */
  public void hostList() {
    var unused = hosts.read().thenAccept(this::hostListRead);
  }

  /** Reads the configuration; posts nothing if it is the one that was read last. */
  public void configuration() {
    var unused =
        configurations.read(configurationVersion.get()).thenAccept(this::configurationRead);
  }

  /** Reads the row of a cell; posts nothing if there is none. */
  public void cellRow(CellId cell) {
    var unused = table.read(cell.rowName()).thenAccept(result -> cellRowRead(cell, result));
  }

  /** Returns how many reads have failed. */
  public long failures() {
    return failures.get();
  }

  private void hostListRead(HostListResult result) {
    if (result instanceof HostListResult.Hosts list) {
      List<Seed> seeds = list.hosts().stream().flatMap(PlatformReads::seeds).toList();
      inbox.post(now -> new NodeEvent.HostListRead(now, seeds));
    } else if (result instanceof HostListResult.Unavailable failure) {
      failed("host list", failure.detail());
    }
  }

  private static Stream<Seed> seeds(HostEntry host) {
    return host.leaving()
        ? Stream.empty()
        : host.members().stream()
            .map(member -> new Seed(member.id(), host.dataCentre(), member.peerAddress()));
  }

  private void configurationRead(ConfigurationReadResult result) {
    if (result instanceof ConfigurationReadResult.Current current) {
      configurationVersion.accumulateAndGet(current.row().version(), Math::max);
      inbox.post(now -> new NodeEvent.ConfigurationRead(now, current.row().configuration()));
    } else if (result instanceof ConfigurationReadResult.Unavailable failure) {
      failed("configuration", failure.detail());
    }
  }

  private void cellRowRead(CellId cell, ReadResult result) {
    if (result instanceof ReadResult.Found found) {
      decode(cell, found);
    } else if (result instanceof ReadResult.Unavailable failure) {
      failed("row " + cell.rowName(), failure.detail());
    }
  }

  private void decode(CellId cell, ReadResult.Found found) {
    try {
      var row = rows.decode(cell, found.row().value());
      inbox.post(now -> new NodeEvent.CellRowRead(now, row));
    } catch (IllegalArgumentException e) {
      failed("row " + cell.rowName(), e.getMessage());
    }
  }

  private void failed(String what, String detail) {
    failures.incrementAndGet();
    LOGGER.log(Level.DEBUG, () -> "platform read failed: " + what + ": " + detail);
  }
}
