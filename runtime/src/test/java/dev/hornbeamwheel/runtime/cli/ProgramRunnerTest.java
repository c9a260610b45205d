package dev.hornbeamwheel.runtime.cli;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.runtime.settings.SettingsObject;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class ProgramRunnerTest {
  @TempDir private Path directory;
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private String valid;

  @BeforeEach
  void writeSettings() throws IOException {
    Path file = directory.resolve("valid.json");
    Files.writeString(file, "{\"name\": \"a\"}");
    valid = file.toString();
  }

  @Test
  void helpListsOptionsAndExitCodes() throws InterruptedException {
    assertThat(run("--help")).isEqualTo(ExitCode.OK);
    assertThat(text(out))
        .contains("--settings FILE", "--check-settings", "--version")
        .contains("3  the settings file was refused");
  }

  @Test
  void versionNamesTheProgram() throws InterruptedException {
    assertThat(run("--version")).isEqualTo(ExitCode.OK);
    assertThat(text(out)).startsWith("sample ");
  }

  @Test
  void refusesUnknownOptionsAndMissingSettings() throws InterruptedException {
    assertThat(run("--verbose")).isEqualTo(ExitCode.USAGE);
    assertThat(run("--set", valid)).isEqualTo(ExitCode.USAGE);
    assertThat(run("--settings", valid, "more")).isEqualTo(ExitCode.USAGE);
    assertThat(run()).isEqualTo(ExitCode.USAGE);
    assertThat(text(err)).contains("missing option: --settings FILE");
  }

  @Test
  void checksSettingsWithoutStarting() throws InterruptedException {
    assertThat(run("--check-settings", "--settings", valid)).isEqualTo(ExitCode.OK);
    assertThat(run("--check-settings", "--settings", valid + ".absent"))
        .isEqualTo(ExitCode.INVALID_SETTINGS);
    assertThat(text(err)).contains("settings-unreadable");
  }

  @Test
  void reportsWhyTheProgramCouldNotStart() throws InterruptedException {
    assertThat(run("--settings", valid)).isEqualTo(ExitCode.START_FAILED);
    assertThat(text(err)).contains("cannot listen on", "start-address-unavailable");
  }

  private ExitCode run(String... args) throws InterruptedException {
    return ProgramRunner.of(new SampleProgram(), new PrintStream(out), new PrintStream(err))
        .run(args);
  }

  private static String text(ByteArrayOutputStream stream) {
    return stream.toString(StandardCharsets.UTF_8);
  }

  private static final class SampleProgram implements Program<String> {
    @Override
    public String name() {
      return "sample";
    }

    @Override
    public String summary() {
      return "does nothing";
    }

    @Override
    public String settings(SettingsObject document) {
      return document.text("name");
    }

    @Override
    public StartResult start(String settings) {
      return new StartResult.Failed(
          new StartError.AddressUnavailable("peerAddress", new InetSocketAddress(1), "in use"));
    }
  }
}
