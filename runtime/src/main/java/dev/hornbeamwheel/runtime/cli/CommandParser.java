package dev.hornbeamwheel.runtime.cli;

import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Arrays;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** The options that all long-running programs share. */
final class CommandParser {
  private static final String HELP = "help";
  private static final String VERSION = "version";
  private static final String CHECK_SETTINGS = "check-settings";
  private static final String SETTINGS = "settings";

  private static final Options OPTIONS =
      new Options()
          .addOption(option(HELP, "print this text and exit"))
          .addOption(option(VERSION, "print the version and exit"))
          .addOption(option(CHECK_SETTINGS, "check the settings file and exit"))
          .addOption(
              Option.builder()
                  .longOpt(SETTINGS)
                  .hasArg()
                  .argName("FILE")
                  .desc("the JSON settings file")
                  .get());

  private CommandParser() {}

  static Command parse(String... args) {
    try {
      CommandLine line =
          DefaultParser.builder().setAllowPartialMatching(false).get().parse(OPTIONS, args);
      return command(line);
    } catch (ParseException | InvalidPathException e) {
      return new Command.Refused(e.getMessage());
    }
  }

  static String help(Program<?> program) {
    StringBuilder text = new StringBuilder();
    text.append("usage: ").append(program.name()).append(" [options]\n");
    text.append(program.summary()).append("\n\noptions:\n");
    OPTIONS.getOptions().forEach(option -> text.append(optionLine(option)));
    text.append("\nexit codes:\n");
    Arrays.stream(ExitCode.values())
        .forEach(code -> text.append("  %d  %s%n".formatted(code.status(), code.meaning())));
    return text.toString();
  }

  private static Command command(CommandLine line) {
    if (line.hasOption(HELP)) {
      return new Command.Help();
    }
    if (line.hasOption(VERSION)) {
      return new Command.Version();
    }
    if (!line.getArgList().isEmpty()) {
      return new Command.Refused("unexpected argument: " + line.getArgList().get(0));
    }
    if (!line.hasOption(SETTINGS)) {
      return new Command.Refused("missing option: --settings FILE");
    }
    Path settings = Path.of(line.getOptionValue(SETTINGS));
    return line.hasOption(CHECK_SETTINGS)
        ? new Command.CheckSettings(settings)
        : new Command.Run(settings);
  }

  private static Option option(String name, String description) {
    return Option.builder().longOpt(name).desc(description).get();
  }

  private static String optionLine(Option option) {
    String argument = option.hasArg() ? " " + option.getArgName() : "";
    return "  --%-17s %s%n".formatted(option.getLongOpt() + argument, option.getDescription());
  }
}
