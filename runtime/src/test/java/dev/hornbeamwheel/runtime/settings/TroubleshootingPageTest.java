package dev.hornbeamwheel.runtime.settings;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.runtime.cli.StartError;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

final class TroubleshootingPageTest {
  private static final Path FILE = Path.of("settings.json");
  private static final SettingsError.Location PLACE = new SettingsError.Location(1, 1, "$");

  @Test
  void everyErrorHasASection() throws IOException {
    String page = Files.readString(Path.of("..").resolve(SettingsError.PAGE));

    assertThat(anchors()).allSatisfy(anchor -> assertThat(page).contains("\n## " + anchor + "\n"));
  }

  @Test
  void everyKindOfErrorIsListedHere() {
    assertThat(SettingsError.class.getPermittedSubclasses()).hasSize(settingsErrors().size());
    assertThat(StartError.class.getPermittedSubclasses()).hasSize(startErrors().size());
  }

  private static List<String> anchors() {
    return Stream.concat(
            settingsErrors().stream().map(SettingsError::anchor),
            startErrors().stream().map(StartError::anchor))
        .toList();
  }

  private static List<SettingsError> settingsErrors() {
    return List.of(
        new SettingsError.Unreadable(FILE, ""),
        new SettingsError.Malformed(FILE, PLACE, ""),
        new SettingsError.UnknownField(FILE, PLACE, List.of()),
        new SettingsError.MissingField(FILE, PLACE),
        new SettingsError.WrongType(FILE, PLACE, "", ""),
        new SettingsError.InvalidValue(FILE, PLACE, "", ""));
  }

  private static List<StartError> startErrors() {
    return List.of(new StartError.AddressUnavailable("", new InetSocketAddress(0), ""));
  }
}
