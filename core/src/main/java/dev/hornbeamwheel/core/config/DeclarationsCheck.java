package dev.hornbeamwheel.core.config;

import java.util.List;

/** Checks declarations as a whole. */
public final class DeclarationsCheck {
  private DeclarationsCheck() {}

  /** Returns all problems in document order; empty if the declarations may be applied. */
  public static List<DeclarationProblem> check(Declarations declarations) {
    return DeclarationChecks.all(declarations);
  }
}
