package dev.hornbeamwheel.ctl;

/** Starts {@code hornbeamwheelctl}. */
public final class CtlMain {
  private CtlMain() {}

  /** Carries out the command line and exits with its code. */
  public static void main(String[] args) throws InterruptedException {
    System.exit(Ctl.printingTo(System.out, System.err).run(args).status());
  }
}
