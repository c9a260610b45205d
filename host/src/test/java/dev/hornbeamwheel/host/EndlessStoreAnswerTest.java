package dev.hornbeamwheel.host;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.host.keys.KeyEffect;
import dev.hornbeamwheel.core.host.keys.KeyRange;
import dev.hornbeamwheel.core.host.keys.OrderResult;
import dev.hornbeamwheel.core.host.lease.HostCapacity;
import dev.hornbeamwheel.core.host.lease.LeaseEffect;
import dev.hornbeamwheel.core.host.lease.LeaseRow;
import dev.hornbeamwheel.core.host.lease.LeaseWrite;
import dev.hornbeamwheel.core.host.node.HostEffect;
import dev.hornbeamwheel.core.host.node.HostEvent;
import dev.hornbeamwheel.core.model.HostId;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import dev.hornbeamwheel.core.time.Clock;
import dev.hornbeamwheel.platform.site.PlatformAdapter;
import dev.hornbeamwheel.standins.site.Flood;
import dev.hornbeamwheel.standins.site.FloodingStandin;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.EnumSource.Mode;

/** Answers of the store, and of upstreams to orders about keys, that do not end. */
final class EndlessStoreAnswerTest {
  private static final long TERM = 7;
  private static final long ANSWER_SECONDS = 20;

  /** Time in which a cut connection is noticed by the other side, in milliseconds. */
  private static final long CUT_MILLIS = 3_000;

  /** The longest answer that is read, and what two sockets hold, in bytes. */
  private static final long MAX_SENT_BYTES = 16 << 20;

  private final EventLoopGroup loop = HostModule.loop();
  private final Clock clock = HostModule.clock();
  private final BlockingQueue<HostEvent> events = new LinkedBlockingQueue<>();
  private FloodingStandin server;
  private PlatformAdapter platform;

  @BeforeEach
  void start() throws IOException {
    server = FloodingStandin.start();
    platform = PlatformAdapter.create(address(), loop, clock, events::add, line -> {});
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    var unused = loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** Guards against a lease that counts as read, and against memory that the store fills. */
  @ParameterizedTest
  @EnumSource(
      value = Flood.class,
      mode = Mode.EXCLUDE,
      names = {"NONE", "AFTER_ANSWER", "ON_IDLE_CONNECTION"})
  void aReadWithAnEndlessAnswerFails(Flood flood) throws Exception {
    server.flood(flood);

    loop.execute(() -> platform.performLease(new LeaseEffect.Read()));

    assertThat(next()).extracting("read").isEqualTo(Optional.empty());
    assertCut();
  }

  /** Guards against a write that counts as done, or as not done. */
  @ParameterizedTest
  @EnumSource(
      value = Flood.class,
      mode = Mode.EXCLUDE,
      names = {"NONE", "AFTER_ANSWER", "ON_IDLE_CONNECTION"})
  void aWriteWithAnEndlessAnswerStaysInDoubt(Flood flood) throws Exception {
    server.flood(flood);

    loop.execute(
        () ->
            platform.performLease(
                new LeaseEffect.Write(
                    new LeaseRow(
                        TERM, HostId.of("host-1"), address(), 1_000, HostCapacity.unknown()),
                    0)));

    assertThat(next()).extracting("result").isInstanceOf(LeaseWrite.InDoubt.class);
    assertCut();
  }

  /** Guards against a grant that counts as not given, and against one that waits its time out. */
  @ParameterizedTest
  @EnumSource(
      value = Flood.class,
      mode = Mode.EXCLUDE,
      names = {"NONE", "OTHER_ANSWERS", "LONG_OTHER_ANSWERS", "AFTER_ANSWER", "ON_IDLE_CONNECTION"})
  void aGrantWithAnEndlessAnswerCountsAsUnanswered(Flood flood) throws Exception {
    server.flood(flood);

    perform(
        new KeyEffect.Grant(
            1,
            UpstreamId.of("i-1"),
            address(),
            new KeyRange(0, 9),
            1,
            1_000,
            Optional.empty(),
            Long.MAX_VALUE));

    assertUnanswered();
  }

  /** Guards against a release that counts as done while the upstream may still hold the keys. */
  @ParameterizedTest
  @EnumSource(
      value = Flood.class,
      mode = Mode.EXCLUDE,
      names = {"NONE", "OTHER_ANSWERS", "LONG_OTHER_ANSWERS", "AFTER_ANSWER", "ON_IDLE_CONNECTION"})
  void aReleaseWithAnEndlessAnswerCountsAsUnanswered(Flood flood) throws Exception {
    server.flood(flood);

    perform(new KeyEffect.Release(1, UpstreamId.of("i-1"), address(), new KeyRange(0, 9), 1));

    assertUnanswered();
  }

  private void perform(KeyEffect effect) {
    loop.execute(
        () -> platform.performKeys(new HostEffect.Keys(TERM, ServiceId.of("ledger"), effect)));
  }

  private void assertUnanswered() throws InterruptedException {
    HostEvent.OrderEnded ended = (HostEvent.OrderEnded) next();
    assertThat(ended.result()).isInstanceOf(OrderResult.Unanswered.class);
    assertThat(((OrderResult.Unanswered) ended.result()).reason()).doesNotContain("TimedOut");
    assertCut();
  }

  private HostEvent next() throws InterruptedException {
    HostEvent event = events.poll(ANSWER_SECONDS, TimeUnit.SECONDS);
    assertThat(event).isNotNull();
    return event;
  }

  private void assertCut() throws InterruptedException {
    long until = clock.millis() + CUT_MILLIS;
    while (server.floods() > 0 && clock.millis() < until) {
      Thread.sleep(20);
    }
    assertThat(server.floods()).isZero();
    assertThat(server.sentBytes()).isLessThan(MAX_SENT_BYTES);
  }

  private Address address() {
    return new Address("127.0.0.1", server.port());
  }
}
