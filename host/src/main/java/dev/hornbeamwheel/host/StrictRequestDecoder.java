package dev.hornbeamwheel.host;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Rejects requests with ambiguous framing, whose end could be parsed in two ways. */
final class StrictRequestDecoder extends HttpRequestDecoder {
  StrictRequestDecoder(int maxHeaderBytes) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(maxHeaderBytes)
            .setMaxHeaderSize(maxHeaderBytes)
            .setStrictLineParsing(true));
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException(
        "request has both Content-Length and chunked encoding; send only one of them");
  }
}
