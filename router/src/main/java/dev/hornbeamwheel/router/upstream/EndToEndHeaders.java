package dev.hornbeamwheel.router.upstream;

import okhttp3.Headers;

/** Picks the headers that pass from one side of the router to the other. */
public final class EndToEndHeaders {
  private EndToEndHeaders() {}

  /** Returns the headers without hop-by-hop ones, credentials and those of the system itself. */
  public static Headers of(Headers headers) {
    Headers.Builder kept = new Headers.Builder();
    headers.forEach(
        header -> {
          if (UpstreamHeaders.endToEnd(header.getFirst())) {
            kept.addUnsafeNonAscii(header.getFirst(), header.getSecond());
          }
        });
    return kept.build();
  }
}
