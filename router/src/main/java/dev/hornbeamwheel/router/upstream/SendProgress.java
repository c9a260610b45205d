package dev.hornbeamwheel.router.upstream;

import okhttp3.Call;
import okhttp3.EventListener;

/** Remembers whether any byte of a request may have been sent. */
final class SendProgress extends EventListener {
  private volatile boolean begun;

  @Override
  public void requestHeadersStart(Call call) {
    begun = true;
  }

  boolean begun() {
    return begun;
  }
}
