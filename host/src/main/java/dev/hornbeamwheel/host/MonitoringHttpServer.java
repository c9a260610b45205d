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
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;

/** Serves small pages to balancer and operators: readiness and metrics. */
final class MonitoringHttpServer {
  /**
   * A page.
   *
   * @param status status of the answer
   * @param body the text
   */
  record Response(HttpResponseStatus status, String body) {
    static Response empty(HttpResponseStatus status) {
      return new Response(status, "");
    }
  }

  private MonitoringHttpServer() {}

  /**
   * Listens on an address.
   *
   * @param page returns the page of a path; called on the thread of the loop
   * @throws IOException if the address cannot be listened on
   */
  static void listen(EventLoopGroup loop, Address address, Function<String, Response> page)
      throws IOException {
    ChannelFuture bound =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    channel.pipeline().addLast(new HttpServerCodec(), new RequestHandler(page));
                  }
                })
            .bind(address.host(), address.port())
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IOException("cannot listen on " + address + " for pages", bound.cause());
    }
  }

  private static final class RequestHandler extends SimpleChannelInboundHandler<Object> {
    private final Function<String, Response> responder;

    private RequestHandler(Function<String, Response> pages) {
      this.responder = pages;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Object message) {
      if (message instanceof HttpRequest request) {
        Response page = responder.apply(request.uri());
        byte[] body = page.body().getBytes(StandardCharsets.UTF_8);
        FullHttpResponse response =
            new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, page.status(), Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        Channels.send(context.channel(), response);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      Channels.close(context.channel());
    }
  }
}
