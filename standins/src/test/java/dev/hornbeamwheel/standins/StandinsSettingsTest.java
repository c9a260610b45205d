package dev.hornbeamwheel.standins;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.runtime.settings.SettingsReader;
import dev.hornbeamwheel.runtime.settings.SettingsResult;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StandinsSettingsTest {
  private static final Path EXAMPLE = Path.of("..", "examples", "standins", "settings.json");

  @TempDir private Path directory;

  @Test
  void theExampleIsAccepted() throws IOException {
    SettingsResult<StandinsSettings> result = read("warm", "warm");
    assertThat(result).isInstanceOf(SettingsResult.Accepted.class);
    StandinsSettings settings = ((SettingsResult.Accepted<StandinsSettings>) result).settings();
    assertThat(settings.platform().orElseThrow().entrances()).hasSize(3);
    assertThat(settings.upstreams().orElseThrow().declarations().upstreams()).hasSize(36);
  }

  @ParameterizedTest
  @CsvSource({
    "'\"warm\"', '\"tepid\"', $.upstreams.start",
    "'[\"platform\"', '[\"planet\"', $.roles[0]",
    "'\"readsPerSecond\": 2000', '\"readsPerSecond\": 0', $.platform.readsPerSecond",
    "examples/kerbriant, examples/nobody, $.upstreams.declarations",
    "127.0.0.1:20090, localhost:20090, $.operatorAddress"
  })
  void aBadValueIsRefusedWithItsPlace(String from, String to, String path) throws IOException {
    SettingsResult<StandinsSettings> result = read(from, to);
    assertThat(result).isInstanceOf(SettingsResult.Rejected.class);
    assertThat(((SettingsResult.Rejected<StandinsSettings>) result).error().message())
        .contains(path);
  }

  private SettingsResult<StandinsSettings> read(String from, String to) throws IOException {
    Path file = directory.resolve("settings.json");
    String text = Files.readString(EXAMPLE).replace(from, to);
    Files.writeString(file, text.replace("\"examples/", "\"../examples/"));
    return SettingsReader.read(file, StandinsSettings::from);
  }
}
