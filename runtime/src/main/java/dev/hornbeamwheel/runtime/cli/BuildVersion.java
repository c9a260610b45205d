package dev.hornbeamwheel.runtime.cli;

import java.io.IOException;
import java.io.InputStream;
import java.util.Properties;

/** The version that the build recorded in the archive of this module. */
public final class BuildVersion {
  private static final String RESOURCE =
      "/META-INF/maven/dev.hornbeamwheel/hornbeamwheel-runtime/pom.properties";
  private static final String UNPACKAGED = "development";

  private BuildVersion() {}

  /** Returns the version, or {@code development} when the classes were not packaged. */
  public static String read() {
    try (InputStream in = BuildVersion.class.getResourceAsStream(RESOURCE)) {
      if (in == null) {
        return UNPACKAGED;
      }
      Properties properties = new Properties();
      properties.load(in);
      return properties.getProperty("version", UNPACKAGED);
    } catch (IOException e) {
      return UNPACKAGED;
    }
  }
}
