package dev.hornbeamwheel.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Keeps the decisions free of I/O, threads, wall clocks and unseeded random numbers. */
class BoundariesTest {
  private static final Path SOURCES = Path.of("src", "main", "java");
  private static final Path CLOCK = Path.of("time", "Clock.java");
  private static final Pattern FORBIDDEN =
      Pattern.compile(
          "import java\\.(net|io|nio\\.(file|channels)|util\\.concurrent|time)\\b"
              + "|currentTimeMillis|nanoTime|new Thread|Math\\.random|new Random\\(\\)");

  @Test
  void noSourceReachesOutsideTheReducers() throws IOException {
    try (Stream<Path> files = Files.walk(SOURCES)) {
      List<Path> offenders =
          files
              .filter(file -> file.toString().endsWith(".java") && !file.endsWith(CLOCK))
              .filter(BoundariesTest::isForbidden)
              .toList();
      assertThat(offenders).isEmpty();
    }
  }

  private static boolean isForbidden(Path file) {
    try {
      return FORBIDDEN.matcher(Files.readString(file)).find();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
