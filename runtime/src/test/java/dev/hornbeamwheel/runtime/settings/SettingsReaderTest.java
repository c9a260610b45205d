package dev.hornbeamwheel.runtime.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class SettingsReaderTest {
  @TempDir private Path directory;

  private record Sample(String name, int size, List<InetSocketAddress> seeds) {
    static Sample from(SettingsObject object) {
      return new Sample(
          object.text("name"), object.integer("size", 1, 9, 3), object.addresses("seeds"));
    }
  }

  @Test
  void acceptsCompleteSettingsAndFillsInDefaults() throws IOException {
    SettingsResult<Sample> result = read("{\"name\": \"a\", \"seeds\": [\"127.0.0.1:7100\"]}");

    assertThat(result)
        .isEqualTo(
            new SettingsResult.Accepted<>(
                new Sample(
                    "a",
                    3,
                    List.of(new InetSocketAddress(InetAddress.getLoopbackAddress(), 7100)))));
  }

  @Test
  void namesPlaceAndKnownFieldsOfAnUnknownField() throws IOException {
    SettingsError error = refused("{\"name\": \"a\", \"seeds\": [],\n  \"sizes\": 3}");

    assertThat(error).isInstanceOf(SettingsError.UnknownField.class);
    assertThat(error.message())
        .contains(":2:12: $.sizes: unknown field")
        .contains("[name, seeds, size]")
        .contains("docs/TROUBLESHOOTING.md#settings-unknown-field");
  }

  @Test
  void namesTheObjectThatLacksAField() throws IOException {
    SettingsError error = refused("{\"seeds\": []}");

    assertThat(error).isInstanceOf(SettingsError.MissingField.class);
    assertThat(error.message()).contains(":1:1: $.name: required field is missing");
  }

  @Test
  void refusesAValueOfAnotherType() throws IOException {
    SettingsError error = refused("{\"name\": 7, \"seeds\": []}");

    assertThat(error).isInstanceOf(SettingsError.WrongType.class);
    assertThat(error.message()).contains("expected a text but found a whole number");
  }

  @Test
  void refusesNumbersOutOfBoundsAndAddressesByName() throws IOException {
    assertThat(refused("{\"name\": \"a\", \"size\": 10, \"seeds\": []}").message())
        .contains("$.size: 10 is out of bounds; write a number from 1 to 9");
    assertThat(refused("{\"name\": \"a\", \"seeds\": [\"localhost:1\"]}").message())
        .contains("$.seeds[0]")
        .contains("write an IP number with a port");
    assertThat(refused("{\"name\": \"a\", \"seeds\": [\"127.0.0.1:65536\"]}"))
        .isInstanceOf(SettingsError.InvalidValue.class);
  }

  @Test
  void refusesBrokenDoubledAndTrailingJson() throws IOException {
    assertThat(refused("{\"name\": ")).isInstanceOf(SettingsError.Malformed.class);
    assertThat(refused("")).isInstanceOf(SettingsError.Malformed.class);
    assertThat(refused("{\"name\": \"a\", \"name\": \"b\"}"))
        .isInstanceOf(SettingsError.Malformed.class);
    assertThat(refused("{\"name\": \"a\", \"seeds\": []} {}"))
        .isInstanceOf(SettingsError.Malformed.class);
  }

  @Test
  void reportsAFileThatCannotBeRead() {
    SettingsResult<Sample> result =
        SettingsReader.read(directory.resolve("absent.json"), Sample::from);

    assertThat(result).isInstanceOf(SettingsResult.Rejected.class);
    assertThat(((SettingsResult.Rejected<Sample>) result).error())
        .isInstanceOf(SettingsError.Unreadable.class);
  }

  private SettingsError refused(String json) throws IOException {
    SettingsResult<Sample> result = read(json);
    assertThat(result).isInstanceOf(SettingsResult.Rejected.class);
    return ((SettingsResult.Rejected<Sample>) result).error();
  }

  private SettingsResult<Sample> read(String json) throws IOException {
    Path file = directory.resolve("settings.json");
    Files.writeString(file, json);
    return SettingsReader.read(file, Sample::from);
  }
}
