package dev.hornbeamwheel.ctl;

/**
 * Options that hold for every command.
 *
 * @param platform IP number and port of the platform
 * @param operator who runs the command
 * @param patienceMillis how long an absent platform is waited for
 */
record CtlOptions(String platform, String operator, long patienceMillis) {}
