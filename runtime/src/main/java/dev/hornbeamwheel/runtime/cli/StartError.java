package dev.hornbeamwheel.runtime.cli;

import dev.hornbeamwheel.runtime.settings.SettingsError;
import java.net.InetSocketAddress;

/** Why a program could not start. */
public sealed interface StartError {
  /** Returns the problem, the remedy and the section to read, on one line. */
  String message();

  /** Returns the heading of the section of the troubleshooting page. */
  String anchor();

  /** An address of the settings cannot be listened on. */
  record AddressUnavailable(String setting, InetSocketAddress address, String cause)
      implements StartError {
    private static final String REMEDY =
        "stop the process that holds the address or choose another";

    @Override
    public String message() {
      return "%s: cannot listen on %s (%s); %s (see %s#%s)"
          .formatted(setting, address, cause, REMEDY, SettingsError.PAGE, anchor());
    }

    @Override
    public String anchor() {
      return "start-address-unavailable";
    }
  }
}
