package dev.hornbeamwheel.core.config;

/** One thing that is wrong with declarations; its message names the remedy. */
public sealed interface DeclarationProblem {
  /** Returns the place in the document, for instance {@code contracts[2].burst}. */
  String path();

  /** Returns what is wrong, in one clause. */
  String problem();

  /** Returns what to change, in one clause. */
  String remedy();

  /** Returns path, problem and remedy in one line. */
  default String message() {
    return path() + ": " + problem() + "; " + remedy();
  }

  /** An id is declared twice. */
  record DuplicateId(String path, String id, String firstPath) implements DeclarationProblem {
    @Override
    public String problem() {
      return "id " + id + " is declared at " + firstPath + " already";
    }

    @Override
    public String remedy() {
      return "remove one of the two or give it another id";
    }
  }

  /** A reference names nothing that is declared. */
  record UnknownReference(String path, String kind, String id) implements DeclarationProblem {
    @Override
    public String problem() {
      return "no " + kind + " " + id + " is declared";
    }

    @Override
    public String remedy() {
      return "declare the " + kind + " or correct the id";
    }
  }

  /** A number lies outside its range. */
  record OutOfRange(String path, String value, String range) implements DeclarationProblem {
    @Override
    public String problem() {
      return value + " is out of range";
    }

    @Override
    public String remedy() {
      return "use " + range;
    }
  }

  /** A text has not the form that is expected. */
  record Malformed(String path, String value, String form) implements DeclarationProblem {
    @Override
    public String problem() {
      return "\"" + value + "\" is malformed";
    }

    @Override
    public String remedy() {
      return "use " + form;
    }
  }

  /** Two declared facts exclude each other. */
  record Contradiction(String path, String problem, String remedy) implements DeclarationProblem {}
}
