package dev.hornbeamwheel.router.upstream;

import dev.hornbeamwheel.core.routing.AttemptOutcome;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.util.Optional;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.Response;
import okio.BufferedSource;

/** One attempt in flight; tells its listener each step and exactly one end. */
final class OkHttpAttempt implements Callback {
  /** Size of the buffer between upstream and caller, in bytes. */
  private static final int BUFFER_BYTES = 16_384;

  private final AttemptSpec spec;
  private final AttemptListener listener;
  private final SendProgress progress;

  private OkHttpAttempt(AttemptSpec spec, AttemptListener listener, SendProgress progress) {
    this.spec = spec;
    this.listener = listener;
    this.progress = progress;
  }

  static OkHttpAttempt of(AttemptSpec spec, AttemptListener listener, SendProgress progress) {
    return new OkHttpAttempt(spec, listener, progress);
  }

  @Override
  public void onFailure(Call call, IOException e) {
    listener.finished(failure(call, e), 0);
  }

  @Override
  public void onResponse(Call call, Response response) {
    try (response) {
      Optional<AttemptOutcome> decided = AnswerHeads.decided(spec, response);
      AttemptOutcome outcome = decided.isPresent() ? decided.get() : passOn(call, response);
      boolean used = !(outcome instanceof AttemptOutcome.Cancelled);
      listener.finished(outcome, used ? AnswerHeads.incarnation(response) : 0);
    }
  }

  private AttemptOutcome failure(Call call, IOException e) {
    if (!progress.begun()) {
      return new AttemptOutcome.FailedBeforeSend();
    }
    if (e instanceof InterruptedIOException) {
      return new AttemptOutcome.DeadlinePassed();
    }
    return call.isCanceled() ? new AttemptOutcome.Cancelled() : new AttemptOutcome.ConnectionLost();
  }

  private AttemptOutcome passOn(Call call, Response response) {
    AnswerHead head = AnswerHeads.of(spec, response);
    if (!listener.started(head)) {
      call.cancel();
      return new AttemptOutcome.Cancelled();
    }
    long received = spec.resumeOffset();
    try {
      BufferedSource source = response.body().source();
      byte[] buffer = new byte[BUFFER_BYTES];
      for (int read = source.read(buffer); read >= 0; read = source.read(buffer)) {
        received += read;
        pass(call, buffer, read);
      }
    } catch (CallerLostException e) {
      return new AttemptOutcome.Cancelled();
    } catch (IOException e) {
      return broken(call, head, received, e);
    }
    return head.length() >= 0 && received != head.length()
        ? new AttemptOutcome.TruncatedResponse(received, head.validator(), false)
        : new AttemptOutcome.Completed(head.status());
  }

  private void pass(Call call, byte[] buffer, int length) throws CallerLostException {
    try {
      listener.body(buffer, length);
    } catch (IOException e) {
      call.cancel();
      throw new CallerLostException(e);
    }
  }

  private static AttemptOutcome broken(Call call, AnswerHead head, long received, IOException e) {
    if (e instanceof InterruptedIOException) {
      return new AttemptOutcome.DeadlinePassed();
    }
    return call.isCanceled()
        ? new AttemptOutcome.Cancelled()
        : new AttemptOutcome.TruncatedResponse(received, head.validator(), true);
  }

  /** The caller cannot be reached any more. */
  private static final class CallerLostException extends IOException {
    private CallerLostException(IOException cause) {
      super(cause);
    }
  }
}
