package dev.hornbeamwheel.host;

import dev.hornbeamwheel.core.host.catalog.Address;
import dev.hornbeamwheel.wire.Channels;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** Serves readiness to the load balancer and metrics to operators over HTTP. */
final class MonitoringHttpServer {
  /**
   * The response to a request.
   *
   * @param status HTTP status
   * @param body text of the body, sent as UTF-8
   */
  record Response(HttpResponseStatus status, String body) {
    static Response empty(HttpResponseStatus status) {
      return new Response(status, "");
    }
  }

  /** Responds to requests; called on the event loop thread. */
  interface Responder {
    /** Returns the response to a request for a path. */
    Response respond(HttpMethod method, String path);
  }

  private MonitoringHttpServer() {}

  /**
   * Listens on an address.
   *
   * @param responder responds to the requests
   * @throws IOException if the address cannot be bound
   */
  static void listen(EventLoopGroup loop, Address address, Responder responder) throws IOException {
    ChannelFuture bound =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    channel
                        .pipeline()
                        .addLast(new HttpServerCodec(), new RequestHandler(responder));
                  }
                })
            .bind(address.host(), address.port())
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IOException(
          "cannot listen on " + address + " for monitoring requests", bound.cause());
    }
  }

  private static final class RequestHandler extends SimpleChannelInboundHandler<Object> {
    private final Responder responder;

    private RequestHandler(Responder responder) {
      this.responder = responder;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Object message) {
      if (message instanceof HttpRequest request) {
        Response response = responder.respond(request.method(), request.uri());
        byte[] body = response.body().getBytes(StandardCharsets.UTF_8);
        FullHttpResponse httpResponse =
            new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, response.status(), Unpooled.wrappedBuffer(body));
        httpResponse.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        Channels.send(context.channel(), httpResponse);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      Channels.close(context.channel());
    }
  }
}
