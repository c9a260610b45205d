package dev.hornbeamwheel.standins.upstream;

/** Where the result of one request goes; one of the last three methods is called, once. */
interface Responder {
  /** Returns whether running the request makes the upstream crash, which begins then. */
  boolean crashes();

  /** The request certainly did not run. */
  void refuse(RefusalReason reason);

  /** The request ran. */
  void answer();

  /** The upstream ended before it could answer. */
  void drop();
}
