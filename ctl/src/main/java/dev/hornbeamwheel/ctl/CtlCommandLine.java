package dev.hornbeamwheel.ctl;

import dev.hornbeamwheel.core.model.DataCentreId;
import dev.hornbeamwheel.core.model.Key;
import dev.hornbeamwheel.core.model.ServiceId;
import dev.hornbeamwheel.core.model.UpstreamId;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** The command line of {@code hornbeamwheelctl}. */
final class CtlCommandLine {
  private static final String DEFAULT_PLATFORM = "127.0.0.1:20001";
  private static final String DEFAULT_PATIENCE_SECONDS = "10";
  private static final long MILLIS_PER_SECOND = 1000;
  private static final String ADDRESS_FORM =
      "(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+]):\\d{1,5}";
  private static final Options OPTIONS =
      new Options()
          .addOption(flag("help", "print this text and exit"))
          .addOption(flag("version", "print the version and exit"))
          .addOption(flag("json", "status: print JSON"))
          .addOption(value("platform", "ADDRESS", "the platform; default " + DEFAULT_PLATFORM))
          .addOption(value("operator", "NAME", "who runs this; default the user's name"))
          .addOption(value("key", "KEY", "explain-route: the shard key of the request"))
          .addOption(value("organisation", "NAME", "explain-route: the caller's organisation"))
          .addOption(value("planned", "VERSION", "apply: the version that diff showed"))
          .addOption(
              value(
                  "patience",
                  "SECONDS",
                  "how long an absent platform is waited for; default "
                      + DEFAULT_PATIENCE_SECONDS));
  private static final String COMMANDS =
      """
      commands:
        validate DIR                  check the declarations of a directory
        diff DIR                      show what an apply would change
        apply DIR                     put the declarations in force
        status                        who owns, who is leaving, which version is in force where
        explain SERVICE KEY           who owns a key, and why
        explain-request ID FILE...    what became of a request, from log files
        explain-route ADDRESS HOST PATH
                                      explain the routing of a request now, from a host's pages
        drain upstream|data-centre ID     take it out of service
        return upstream|data-centre ID    take it back into service
        declare-lost DATA-CENTRE      let others take over a data centre that is lost
      """;

  private CtlCommandLine() {}

  /** A parsed command line. */
  record Parsed(CtlCommand command, CtlOptions options) {}

  static Parsed parse(String... args) {
    try {
      CommandLine line =
          DefaultParser.builder().setAllowPartialMatching(false).get().parse(OPTIONS, args);
      return new Parsed(command(line), options(line));
    } catch (NumberFormatException e) {
      return refused("not a number: " + e.getMessage());
    } catch (ParseException | InvalidPathException e) {
      return refused(e.getMessage());
    } catch (IllegalArgumentException e) {
      return refused(e.getMessage());
    }
  }

  static String help() {
    StringBuilder text = new StringBuilder("usage: hornbeamwheelctl [options] command\n\n");
    text.append(COMMANDS).append("\noptions:\n");
    OPTIONS
        .getOptions()
        .forEach(
            option ->
                text.append(
                    "  --%-18s %s%n"
                        .formatted(
                            option.getLongOpt()
                                + (option.hasArg() ? " " + option.getArgName() : ""),
                            option.getDescription())));
    text.append("\nexit codes:\n");
    Arrays.stream(CtlExitCode.values())
        .forEach(code -> text.append("  %d  %s%n".formatted(code.status(), code.meaning())));
    return text.toString();
  }

  private static Parsed refused(String problem) {
    return new Parsed(new CtlCommand.Refused(problem), new CtlOptions("", "", 0));
  }

  private static CtlOptions options(CommandLine line) {
    String platform = line.getOptionValue("platform", DEFAULT_PLATFORM);
    if (!platform.matches(ADDRESS_FORM)) {
      throw new IllegalArgumentException(
          "--platform must be an IP number with a port, for instance 127.0.0.1:20001");
    }
    String operator = line.getOptionValue("operator", System.getProperty("user.name"));
    long seconds = Long.parseLong(line.getOptionValue("patience", DEFAULT_PATIENCE_SECONDS));
    return new CtlOptions(platform, operator, seconds * MILLIS_PER_SECOND);
  }

  private static CtlCommand command(CommandLine line) {
    if (line.hasOption("help")) {
      return new CtlCommand.Help();
    }
    if (line.hasOption("version")) {
      return new CtlCommand.Version();
    }
    List<String> words = line.getArgList();
    if (words.isEmpty()) {
      throw new IllegalArgumentException("a command is missing");
    }
    String name = words.get(0);
    return switch (name) {
      case "validate" -> new CtlCommand.Validate(Path.of(argument(words, 1, 2, "DIR")));
      case "diff" -> new CtlCommand.Diff(Path.of(argument(words, 1, 2, "DIR")));
      case "apply" ->
          new CtlCommand.Apply(
              Path.of(argument(words, 1, 2, "DIR")),
              Optional.ofNullable(line.getOptionValue("planned")).map(Long::parseLong));
      case "status" -> status(words, line.hasOption("json"));
      case "explain" ->
          new CtlCommand.Explain(
              ServiceId.of(argument(words, 1, 3, "SERVICE")), Key.of(argument(words, 2, 3, "KEY")));
      case "explain-request" -> explainRequest(words);
      case "explain-route" ->
          new CtlCommand.ExplainRoute(
              address(argument(words, 1, 4, "ADDRESS")),
              argument(words, 2, 4, "HOST"),
              argument(words, 3, 4, "PATH"),
              Optional.ofNullable(line.getOptionValue("key")).map(Integer::parseInt),
              Optional.ofNullable(line.getOptionValue("organisation")));
      case "drain", "return" -> placed(name.equals("drain"), words);
      case "declare-lost" ->
          new CtlCommand.DeclareLost(DataCentreId.of(argument(words, 1, 2, "DATA-CENTRE")));
      default -> throw new IllegalArgumentException("unknown command: " + name);
    };
  }

  private static String address(String word) {
    if (!word.matches(ADDRESS_FORM)) {
      throw new IllegalArgumentException(
          "ADDRESS must be an IP address with a port, for instance 127.0.0.1:9000");
    }
    return word;
  }

  private static CtlCommand status(List<String> words, boolean json) {
    if (words.size() > 1) {
      throw new IllegalArgumentException("unexpected argument: " + words.get(1));
    }
    return new CtlCommand.Status(json);
  }

  private static CtlCommand explainRequest(List<String> words) {
    String id = argument(words, 1, words.size(), "ID");
    argument(words, 2, words.size(), "FILE");
    return new CtlCommand.ExplainRequest(
        id, words.stream().skip(2).map(Path::of).collect(Collectors.toList()));
  }

  private static CtlCommand placed(boolean drain, List<String> words) {
    String kind = argument(words, 1, 3, "upstream|data-centre");
    String id = argument(words, 2, 3, "ID");
    return switch (kind) {
      case "upstream" ->
          drain
              ? new CtlCommand.DrainUpstream(UpstreamId.of(id))
              : new CtlCommand.ReturnUpstream(UpstreamId.of(id));
      case "data-centre" ->
          drain
              ? new CtlCommand.DrainDataCentre(DataCentreId.of(id))
              : new CtlCommand.ReturnDataCentre(DataCentreId.of(id));
      default -> throw new IllegalArgumentException("write upstream or data-centre, not " + kind);
    };
  }

  private static String argument(List<String> words, int index, int size, String name) {
    if (words.size() <= index) {
      throw new IllegalArgumentException("missing argument: " + name);
    }
    if (words.size() > size) {
      throw new IllegalArgumentException("unexpected argument: " + words.get(size));
    }
    return words.get(index);
  }

  private static Option flag(String name, String description) {
    return Option.builder().longOpt(name).desc(description).get();
  }

  private static Option value(String name, String argument, String description) {
    return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).get();
  }
}
