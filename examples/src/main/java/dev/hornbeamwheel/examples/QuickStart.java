package dev.hornbeamwheel.examples;

import dev.hornbeamwheel.examples.Caller.Answer;
import java.io.IOException;
import java.io.PrintStream;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Sends the three kinds of request of the quick start and prints the answers. */
public final class QuickStart {
  /** Time for which a refused request is sent again, in milliseconds. */
  private static final long PATIENCE_MILLIS = 20_000;

  /** Pause between two tries, in milliseconds. */
  private static final long PAUSE_MILLIS = 250;

  private final Caller caller;
  private final PrintStream out;

  private QuickStart(Caller caller, PrintStream out) {
    this.caller = caller;
    this.out = out;
  }

  /** Runs the requests; exits with a failure if one of them does not complete. */
  public static void main(String... args) throws ParseException, IOException, InterruptedException {
    Options options = new Options();
    options.addRequiredOption(null, "base", true, "URL of an entry host");
    options.addRequiredOption(null, "token", true, "token of the contract");
    options.addRequiredOption(null, "keyed", true, "a keyed service");
    options.addRequiredOption(null, "key", true, "a key of it");
    options.addRequiredOption(null, "orders", true, "a pooled service that takes orders");
    options.addRequiredOption(null, "archive", true, "a pooled service with downloads");
    CommandLine line = new DefaultParser().parse(options, args);
    Caller caller = Caller.of(line.getOptionValue("base"), line.getOptionValue("token"));
    boolean complete = new QuickStart(caller, System.out).run(line);
    System.exit(complete ? 0 : 1);
  }

  private boolean run(CommandLine line) throws IOException, InterruptedException {
    String keyed = line.getOptionValue("keyed");
    String key = line.getOptionValue("key");
    boolean lookup = complete("lookup", () -> caller.lookup(keyed, key, "/parts/roll-bar-40"));
    String orders = line.getOptionValue("orders");
    String operation = UUID.randomUUID().toString();
    String bedplate = "{\"part\":\"bedplate\",\"count\":1}";
    boolean order = complete("order", () -> caller.order(orders, "/orders", operation, bedplate));
    Answer repeat = caller.order(orders, "/orders", operation, bedplate);
    print("the same order again", repeat);
    boolean once = repeat.status() == 409 && "completed".equals(repeat.outcome());
    String archive = line.getOptionValue("archive");
    boolean download =
        complete("download", () -> caller.download(archive, "/downloads/beater.8388608"));
    return lookup && order && once && download;
  }

  private boolean complete(String name, Attempt attempt) throws IOException, InterruptedException {
    Answer answer = attempt.send();
    for (long waited = 0; retriable(answer) && waited < PATIENCE_MILLIS; waited += PAUSE_MILLIS) {
      TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
      answer = attempt.send();
    }
    print(name, answer);
    return answer.status() == 200 && "completed".equals(answer.outcome());
  }

  private static boolean retriable(Answer answer) {
    return "not-run".equals(answer.outcome());
  }

  private void print(String name, Answer answer) {
    out.printf(
        "%-22s status %d, outcome %s, %d bytes%n",
        name, answer.status(), answer.outcome(), answer.body().size());
  }

  /** One request, sent anew each time. */
  private interface Attempt {
    Answer send() throws IOException;
  }
}
