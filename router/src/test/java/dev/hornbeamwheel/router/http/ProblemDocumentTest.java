package dev.hornbeamwheel.router.http;

import static org.assertj.core.api.Assertions.assertThat;

import dev.hornbeamwheel.core.routing.ProblemKind;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class ProblemDocumentTest {
  @Test
  void everyProblemHasASectionOfItsOwnOnTheTroubleshootingPage() throws IOException {
    List<String> headings =
        Files.readAllLines(Path.of("..", "docs", "TROUBLESHOOTING.md")).stream()
            .filter(line -> line.startsWith("## "))
            .map(line -> line.substring("## ".length()))
            .toList();
    Stream<String> routing =
        Arrays.stream(ProblemKind.values()).map(ProblemKind::slug).filter(slug -> !slug.isEmpty());
    Stream<String> requests = Arrays.stream(RequestProblem.values()).map(RequestProblem::slug);
    assertThat(Stream.concat(routing, requests).toList()).isSubsetOf(headings);
  }
}
