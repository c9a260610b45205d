package dev.hornbeamwheel.core.model;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;

class KeyTest {
  @Property(tries = 200, seed = "1")
  void everyKeyMapsToAShardOfItsService(
      @ForAll @AlphaChars @StringLength(min = 1, max = 40) String text) {
    assertThat(Key.of(text).shard(64).index()).isBetween(0, 63);
  }

  @Test
  void shardCountMustBeAPowerOfTwo() {
    assertThatThrownBy(() -> Key.of("mill-7").shard(48))
        .isInstanceOf(IllegalArgumentException.class)
        .hasMessageContaining("power of two");
  }

  @Test
  void blankKeyIsRejected() {
    assertThatThrownBy(() -> Key.of(" ")).isInstanceOf(IllegalArgumentException.class);
  }
}
