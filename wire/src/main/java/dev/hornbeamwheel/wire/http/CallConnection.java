package dev.hornbeamwheel.wire.http;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.core.time.Clock;
import dev.hornbeamwheel.wire.Channels;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One connection of an {@link HttpCaller} and the call that it carries. */
final class CallConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
  /** How long a connection is kept if the other side names no time, in milliseconds. */
  private static final long IDLE_MILLIS = 8_000;

  /** Part of the named time for which a connection is used. */
  private static final double IDLE_PART = 0.8;

  /** Lowest status of HTTP, which is informational. */
  private static final int MIN_STATUS = 100;

  /** Highest status of HTTP. */
  private static final int MAX_STATUS = 599;

  /**
   * Maximum time without progress on the rest of a request that was already answered, in
   * milliseconds; longer than the usual pauses of slow upstreams.
   */
  private static final long REST_STALL_MILLIS = 2_000;

  private static final String KEEP_ALIVE = "Keep-Alive";

  private static final Pattern KEEP_ALIVE_SECONDS = Pattern.compile("timeout=(\\d{1,6})");

  private final HttpCaller owner;
  private final Clock clock;
  private final Address address;
  private final AnswerLimits limits;
  private final IncomingAnswers incoming;
  private final AnswerDecoder decoder = new AnswerDecoder(this);
  private Channel channel;
  private Call call;
  private Consumer<CallResult> result;
  private Future<?> timeout;
  private boolean sent;
  private boolean sending;
  private boolean closeWhenSent;
  private long restUnsentBytes;
  private long restProgressMillis;
  private boolean used;
  private boolean spoilt;
  private long connectingSinceMillis;
  private int receivedBytes;
  private long idleSinceMillis;
  private long idleLimitMillis = IDLE_MILLIS;

  CallConnection(
      HttpCaller owner,
      Clock clock,
      Address address,
      AnswerLimits limits,
      IncomingAnswers incoming) {
    super(false);
    this.owner = owner;
    this.clock = clock;
    this.address = address;
    this.limits = limits;
    this.incoming = incoming;
  }

  Address address() {
    return address;
  }

  /** Returns what reads the answers on this connection. */
  AnswerDecoder decoder() {
    return decoder;
  }

  /** Returns how many bytes have arrived for the call. */
  int receivedBytes() {
    return receivedBytes;
  }

  /** Returns whether the answer to the call has no body, whatever its head says. */
  boolean asksForHead() {
    return call != null && call.request().method().equals(HttpMethod.HEAD);
  }

  /** Counts bytes that arrived; returns whether they are to be read. */
  boolean received(int bytes) {
    if (call == null) {
      spoilt = true;
      Channels.reset(channel);
      return false;
    }
    receivedBytes += bytes;
    incoming.add(this, bytes);
    if (call != null && receivedBytes > limits.answerBytes()) {
      fail(new CallResult.Broken("more than " + limits.answerBytes() + " bytes for one answer"));
    }
    return call != null;
  }

  /** Ends the call, because all answers together are too long. */
  void giveWay() {
    fail(new CallResult.Broken("too many bytes of answers that are being read"));
  }

  /** Notes the call for which the connection is being made. */
  void connecting(Channel connectingChannel, Call first, Consumer<CallResult> receiver) {
    channel = connectingChannel;
    connectingSinceMillis = clock.millis();
    call = first;
    result = receiver;
    startTimeout();
  }

  void connected(boolean success, Throwable cause) {
    if (call == null) {
      Channels.reset(channel);
    } else if (success && clock.millis() - connectingSinceMillis >= call.timeoutMillis()) {
      // The process was busy; the timer that would have ended the call is as late.
      timedOut();
    } else if (success) {
      send();
    } else {
      call.request().release();
      end(new CallResult.Unreachable(String.valueOf(cause)));
    }
  }

  /** Starts a call on an established connection. */
  void start(Call next, Consumer<CallResult> receiver) {
    call = next;
    result = receiver;
    used = true;
    decoder.callStarted();
    startTimeout();
    send();
  }

  void abort() {
    if (call != null) {
      releaseUnsent();
      clear();
    }
    Channels.reset(channel);
  }

  void close() {
    Channels.close(channel);
  }

  boolean usable(long nowMillis) {
    return channel.isActive() && !spoilt && idleFor(nowMillis) < idleLimitMillis;
  }

  long idleFor(long nowMillis) {
    return nowMillis - idleSinceMillis;
  }

  boolean closeIfExpired(long nowMillis) {
    if (usable(nowMillis)) {
      return false;
    }
    close();
    return true;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
    if (call == null) {
      response.release();
      spoilt = true;
      Channels.reset(channel);
    } else if (response.decoderResult().isFailure()) {
      String reason = "not an HTTP answer: " + response.decoderResult().cause();
      response.release();
      fail(new CallResult.Broken(reason));
    } else if (!isValidStatus(response.status().code())) {
      String reason = "not an HTTP status: " + response.status().code();
      response.release();
      fail(new CallResult.Broken(reason));
    } else if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      response.release();
    } else {
      receive(response);
    }
  }

  /**
   * Returns whether a status can be part of an answer. The decoder accepts any number, and an
   * upstream that fails may send one, such as 000, that no caller understands.
   */
  private static boolean isValidStatus(int status) {
    return status >= MIN_STATUS && status <= MAX_STATUS;
  }

  private void receive(FullHttpResponse response) {
    switch (call.matcher().match(response, used)) {
      case ANSWERS -> complete(response);
      case UNRELATED -> {
        response.release();
        spoilt = true;
      }
      default -> {
        response.release();
        fail(new CallResult.Broken("a response that may belong to an earlier call"));
      }
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    fail(new CallResult.Broken(String.valueOf(cause)));
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    owner.forget(this);
    fail(new CallResult.Broken("connection closed before the whole answer"));
  }

  private void send() {
    sent = true;
    sending = true;
    var unused = channel.writeAndFlush(call.request()).addListener(this::requestSent);
  }

  private void requestSent(Future<?> written) {
    sending = false;
    if (!written.isSuccess()) {
      fail(new CallResult.Broken(String.valueOf(written.cause())));
    } else if (closeWhenSent) {
      close();
    }
  }

  /** Returns how many bytes the socket has not accepted yet. */
  long unsentBytes() {
    return Channels.unsentBytes(channel);
  }

  /** Ends the connection if the upstream has stopped reading the rest of an answered request. */
  void resetIfStalled(long nowMillis) {
    long unsent = unsentBytes();
    if (unsent != restUnsentBytes) {
      restUnsentBytes = unsent;
      restProgressMillis = nowMillis;
    } else if (nowMillis - restProgressMillis >= REST_STALL_MILLIS) {
      Channels.reset(channel);
    }
  }

  private void complete(FullHttpResponse response) {
    boolean framed =
        HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response);
    boolean keep =
        !spoilt
            && framed
            && HttpUtil.isKeepAlive(response)
            && HttpUtil.isKeepAlive(call.request())
            && !decoder.hasUndecoded()
            && channel.isActive();
    if (keep) {
      noteIdleLimit(response);
    }
    Consumer<CallResult> receiver = result;
    boolean rest = sending;
    clear();
    if (keep && rest) {
      // The upstream expects the rest of the body here, and must not take another request for it.
      spoilt = true;
      closeWhenSent = true;
      restProgressMillis = clock.millis();
      owner.addSendingAfterAnswer(this);
    } else if (keep) {
      idleSinceMillis = clock.millis();
      owner.keep(this);
    } else {
      close();
    }
    receiver.accept(new CallResult.Answered(response));
  }

  private void noteIdleLimit(FullHttpResponse response) {
    String keepAlive = response.headers().get(KEEP_ALIVE);
    if (keepAlive == null) {
      return;
    }
    Matcher seconds = KEEP_ALIVE_SECONDS.matcher(keepAlive);
    if (seconds.find()) {
      long millis = TimeUnit.SECONDS.toMillis(Long.parseLong(seconds.group(1)));
      idleLimitMillis = (long) (millis * IDLE_PART);
    }
  }

  private void startTimeout() {
    timeout =
        channel
            .eventLoop()
            .schedule(this::timedOut, Math.max(1, call.timeoutMillis()), TimeUnit.MILLISECONDS);
  }

  private void timedOut() {
    if (call == null) {
      return;
    }
    if (used) {
      // The connections of this age may have gone silent together.
      owner.distrust(address);
    }
    fail(sent ? new CallResult.TimedOut() : new CallResult.Unreachable("connecting timed out"));
  }

  private void fail(CallResult failure) {
    spoilt = true;
    if (call != null) {
      releaseUnsent();
      end(failure);
    }
    Channels.reset(channel);
  }

  private void releaseUnsent() {
    if (!sent) {
      call.request().release();
    }
  }

  private void end(CallResult ended) {
    Consumer<CallResult> receiver = result;
    clear();
    receiver.accept(ended);
  }

  private void clear() {
    var unused = timeout.cancel(false);
    incoming.remove(this);
    receivedBytes = 0;
    call = null;
    result = null;
    sent = false;
  }
}
