package dev.hornbeamwheel.runtime.loop;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.TimedEvent;
import dev.hornbeamwheel.core.time.Clock;
import dev.hornbeamwheel.core.time.ManualClock;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class EventLoopTest {
  private static final long PATIENCE_SECONDS = 30;
  private final BlockingQueue<String> performed = new LinkedBlockingQueue<>();

  private record Event(long atMillis, String name) implements TimedEvent {}

  @Test
  void performsTheEffectsOfPostedEventsAndOfTicks() throws InterruptedException {
    try (EventLoop<Event, String> loop =
        EventLoop.create("test", event -> List.of(event.name()), Clock.monotonic())) {
      loop.start(performed::add, now -> new Event(now, "tick"));
      loop.post(now -> new Event(now, "posted"));

      assertThat(performed.poll(PATIENCE_SECONDS, TimeUnit.SECONDS)).isEqualTo("posted");
      assertThat(performed.poll(PATIENCE_SECONDS, TimeUnit.SECONDS)).isEqualTo("tick");
      assertThat(loop.alive()).isTrue();
    }
  }

  @Test
  void goesOnAfterAnEventThatFailed() throws InterruptedException {
    try (EventLoop<Event, String> loop =
        EventLoop.create("test", EventLoopTest::refuseBad, ManualClock.startingAt(0))) {
      loop.start(performed::add, now -> new Event(now, "tick"));
      loop.post(now -> new Event(now, "bad"));
      loop.post(now -> new Event(now, "good"));

      assertThat(performed.poll(PATIENCE_SECONDS, TimeUnit.SECONDS)).isEqualTo("good");
    }
  }

  @Test
  void ignoresEventsBeforeItStarts() throws InterruptedException {
    try (EventLoop<Event, String> loop =
        EventLoop.create("test", event -> List.of(event.name()), ManualClock.startingAt(0))) {
      loop.post(now -> new Event(now, "early"));
      loop.start(performed::add, now -> new Event(now, "tick"));

      assertThat(performed.poll(PATIENCE_SECONDS, TimeUnit.SECONDS)).isEqualTo("tick");
    }
  }

  @Test
  void ignoresEventsOnceClosed() {
    EventLoop<Event, String> loop =
        EventLoop.create("test", event -> List.of(event.name()), ManualClock.startingAt(0));
    loop.start(performed::add, now -> new Event(now, "tick"));
    loop.close();
    loop.post(now -> new Event(now, "late"));

    assertThat(performed).doesNotContain("late");
    assertThat(loop.alive()).isFalse();
  }

  private static List<String> refuseBad(Event event) {
    if (event.name().equals("bad")) {
      throw new IllegalStateException("bad event");
    }
    return List.of(event.name());
  }
}
