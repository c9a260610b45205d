package dev.hornbeamwheel.router.upstream;

import java.io.IOException;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.Response;

/** Takes the answer of a request whose success does not matter. */
enum IgnoredAnswer implements Callback {
  INSTANCE;

  @Override
  public void onFailure(Call call, IOException e) {}

  @Override
  public void onResponse(Call call, Response response) {
    response.close();
  }
}
