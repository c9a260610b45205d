package dev.hornbeamwheel.e2e;

import java.util.List;

/** Flags of the virtual machine, like those of the launch scripts. */
final class JvmFlags {
  private static final List<String> ROUTER = List.of("-Xmx256m");
  private static final List<String> OTHERS =
      List.of("-Xmx128m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1");

  private JvmFlags() {}

  static List<String> of(String mainClass) {
    return mainClass.endsWith("RouterMain") ? ROUTER : OTHERS;
  }
}
