package dev.hornbeamwheel.host;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Runs an entry host against stand-ins to dump the list of classes that it loads, from which the
 * class data sharing archive is built; see tools/class-list.
 */
final class ClassListMain {
  private static final Duration START_TIMEOUT = Duration.ofSeconds(20);
  private static final int REQUEST_PAIRS = 400;

  private ClassListMain() {}

  /** Writes the list; the arguments are its path and the class path of the host. */
  public static void main(String[] args) throws IOException, InterruptedException {
    try (SiteFixture site = new SiteFixture(1)) {
      site.awaitServing(0, START_TIMEOUT);
      Path settings = Files.createTempFile("host", ".json");
      Files.writeString(settings, site.secondHostSettings());
      Process host =
          new ProcessBuilder(
                  List.of(
                      "java",
                      "-XX:+UseSerialGC",
                      "-XX:DumpLoadedClassList=" + args[0],
                      "-Dio.netty.allocator.type=unpooled",
                      "-Dio.netty.noPreferDirect=true",
                      "-cp",
                      args[1],
                      "dev.hornbeamwheel.host.HostMain",
                      "--settings",
                      settings.toString()))
              .inheritIO()
              .start();
      try {
        site.awaitServing(1, START_TIMEOUT);
        site.stopHost(0);
        callSecondHost(site);
      } finally {
        host.destroy();
        host.waitFor(START_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
        Files.delete(settings);
      }
    }
  }

  private static void callSecondHost(SiteFixture site) throws IOException, InterruptedException {
    for (int i = 0; i < REQUEST_PAIRS; i++) {
      site.lookup(1, i * 163);
      site.order(1);
      Thread.sleep(10);
    }
  }
}
