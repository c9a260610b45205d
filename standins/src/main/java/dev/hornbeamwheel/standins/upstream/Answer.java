package dev.hornbeamwheel.standins.upstream;

import dev.hornbeamwheel.core.model.RequestId;

/**
 * The answer to a request that ran.
 *
 * @param requestId the request that it echoes
 * @param body the content
 */
record Answer(RequestId requestId, Body body) {
  /** The content of an answer. */
  sealed interface Body {
    /** A short JSON document. */
    record Document(DocumentJson json) implements Body {}

    /** A large file. */
    record File(Download download) implements Body {}
  }

  /** What an upstream answers to a request that is no download. */
  record DocumentJson(
      String upstream, String service, String requestId, String method, String path, int bytes) {}
}
