package dev.hornbeamwheel.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.model.Key;
import dev.hornbeamwheel.core.model.ServiceId;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class CtlCommandLineTest {
  @Test
  void commandsAreParsed() {
    assertThat(CtlCommandLine.parse("apply", "dir", "--planned", "12").command())
        .isEqualTo(new CtlCommand.Apply(Path.of("dir"), Optional.of(12L)));
    assertThat(CtlCommandLine.parse("status", "--json").command())
        .isEqualTo(new CtlCommand.Status(true));
    assertThat(CtlCommandLine.parse("explain", "baymap", "float-1").command())
        .isEqualTo(new CtlCommand.Explain(ServiceId.of("baymap"), Key.of("float-1")));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "launch",
        "validate",
        "apply a b",
        "apply a --planned twelve",
        "status now",
        "explain baymap",
        "explain-request 9c41d07be2a35f68",
        "drain upstream",
        "drain planet mars",
        "--unknown status",
        "--platform localhost:1 status",
        "--patience soon status"
      })
  void aMalformedCommandLineIsRefused(String text) {
    String[] args = text.isEmpty() ? new String[0] : text.split(" ", -1);
    assertThat(CtlCommandLine.parse(args).command()).isInstanceOf(CtlCommand.Refused.class);
  }

  @Test
  void theHelpNamesEveryExitCode() {
    assertThat(Arrays.asList(CtlExitCode.values()))
        .allSatisfy(code -> assertThat(CtlCommandLine.help()).contains(code.meaning()));
  }
}
