package dev.hornbeamwheel.router;

import dev.hornbeamwheel.core.model.Key;
import dev.hornbeamwheel.router.http.CallerExchange;
import dev.hornbeamwheel.router.http.CallerRequest;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.apache.commons.codec.digest.MurmurHash3;

/** Hashes what a request asks for, so that its copies are recognized wherever they come in. */
final class Fingerprints {
  private Fingerprints() {}

  /** Returns the same hash for each copy of a request, whatever its id. */
  static long of(CallerExchange caller) {
    CallerRequest request = caller.request();
    String head =
        String.join(
            "\n",
            request.contract().value(),
            request.service().id().value(),
            request.method(),
            request.target(),
            request.key().map(Key::value).orElse(""));
    byte[] headBytes = head.getBytes(StandardCharsets.UTF_8);
    byte[] all = Arrays.copyOf(headBytes, headBytes.length + caller.body().size());
    System.arraycopy(caller.body().toByteArray(), 0, all, headBytes.length, caller.body().size());
    return MurmurHash3.hash128x64(all)[0];
  }
}
