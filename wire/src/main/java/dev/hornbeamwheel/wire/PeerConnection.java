package dev.hornbeamwheel.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/** The outgoing connection to one member; all its state is confined to one event loop. */
final class PeerConnection {
  /** A connection over which nothing was sent for so long is closed, in milliseconds. */
  static final long IDLE_MILLIS = 60_000;

  private final Bootstrap bootstrap;
  private final EventLoop loop;
  private final TransportCounters counters;
  private final Runnable unreachable;
  private final SendQueue queue = new SendQueue();
  private final Reconnection reconnection = new Reconnection();
  private InetSocketAddress address;
  private Channel channel;
  private boolean connecting;
  private boolean closed;
  private long lastSendNanos;

  PeerConnection(
      Bootstrap bootstrap, EventLoop loop, TransportCounters counters, Runnable unreachable) {
    this.bootstrap = bootstrap;
    this.loop = loop;
    this.counters = counters;
    this.unreachable = unreachable;
  }

  void send(OutboundFrame frame) {
    loop.execute(() -> enqueue(frame));
  }

  void moveTo(InetSocketAddress newAddress) {
    loop.execute(
        () -> {
          if (!newAddress.equals(address)) {
            address = newAddress;
            reconnection.succeeded();
            disconnect();
          }
        });
  }

  void closeIfIdle() {
    loop.execute(
        () -> {
          long idle = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastSendNanos);
          if (channel != null && idle > IDLE_MILLIS) {
            disconnect();
          }
        });
  }

  void close() {
    loop.execute(
        () -> {
          closed = true;
          flush();
          drop(queue.clear());
          disconnect();
        });
  }

  private void enqueue(OutboundFrame frame) {
    if (closed) {
      counters.dropped();
      return;
    }
    lastSendNanos = System.nanoTime();
    drop(queue.add(frame));
    if (channel == null) {
      connect();
    } else {
      flush();
    }
  }

  private void flush() {
    if (channel == null) {
      return;
    }
    OutboundFrame frame;
    while (channel.isWritable() && (frame = queue.poll()) != null) {
      counters.sent(frame.size() + FrameFormat.HEADER_BYTES, frame.gossip());
      // A failed write closes the channel, which is noticed there.
      var unused = channel.write(frame.content(), channel.voidPromise());
    }
    channel.flush();
  }

  private void connect() {
    if (connecting || closed || address == null) {
      return;
    }
    connecting = true;
    var unused =
        bootstrap.clone(loop).connect(address).addListener(f -> connected((ChannelFuture) f));
  }

  private void connected(ChannelFuture future) {
    connecting = false;
    if (!future.isSuccess()) {
      failed();
      return;
    }
    if (closed || !future.channel().remoteAddress().equals(address)) {
      Channels.close(future.channel());
      retryIfWaiting();
      return;
    }
    reconnection.succeeded();
    channel = future.channel();
    var unused = channel.closeFuture().addListener(f -> lost((ChannelFuture) f));
    channel.pipeline().addLast(new WritabilityHandler(this::flush));
    flush();
  }

  private void lost(ChannelFuture closeFuture) {
    if (closeFuture.channel() == channel) {
      channel = null;
      failed();
    }
  }

  private void failed() {
    if (closed) {
      return;
    }
    unreachable.run();
    if (queue.size() > 0) {
      connecting = true;
      var unused = loop.schedule(this::retry, reconnection.failed(), TimeUnit.MILLISECONDS);
    }
  }

  private void retry() {
    connecting = false;
    retryIfWaiting();
  }

  private void retryIfWaiting() {
    if (queue.size() > 0) {
      connect();
    }
  }

  private void disconnect() {
    Channel open = channel;
    channel = null;
    if (open != null) {
      Channels.close(open);
    }
    retryIfWaiting();
  }

  private void drop(int frames) {
    for (int i = 0; i < frames; i++) {
      counters.dropped();
    }
  }
}
