package dev.hornbeamwheel.core.config;

import dev.hornbeamwheel.core.Reducer;
import java.util.List;

/**
 * Applies declarations on the condition that the version they were planned against still stands.
 *
 * <p>An unanswered write is settled by reading the row back and looking for the operation id.
 */
public final class ApplyReducer implements Reducer<ApplyEvent, ApplyEffect> {
  private final long plannedVersion;
  private final Declarations declarations;
  private final String operator;
  private final String operationId;
  private final long deadlineMillis;
  private boolean written;
  private boolean finished;

  private ApplyReducer(
      long plannedVersion,
      Declarations declarations,
      String operator,
      String operationId,
      long deadlineMillis) {
    this.plannedVersion = plannedVersion;
    this.declarations = declarations;
    this.operator = operator;
    this.operationId = operationId;
    this.deadlineMillis = deadlineMillis;
  }

  /**
   * Returns the reducer of one apply; its first event should be a tick.
   *
   * @param plannedVersion the version that the operator saw
   * @param declarations the declarations to apply
   * @param operator who applies them, shown to the losers of a race
   * @param operationId an id that no other apply uses
   * @param deadlineMillis when to give up on an unanswered write
   */
  public static ApplyReducer of(
      long plannedVersion,
      Declarations declarations,
      String operator,
      String operationId,
      long deadlineMillis) {
    return new ApplyReducer(plannedVersion, declarations, operator, operationId, deadlineMillis);
  }

  @Override
  public List<ApplyEffect> reduce(ApplyEvent event) {
    if (finished) {
      return List.of();
    }
    if (event instanceof ApplyEvent.RowRead read) {
      return decide(read.row());
    }
    if (event instanceof ApplyEvent.Written) {
      return finish(new ApplyResult.Applied(plannedVersion + 1));
    }
    if (event.atMillis() >= deadlineMillis) {
      return finish(new ApplyResult.OutcomeUnknown(plannedVersion));
    }
    return event instanceof ApplyEvent.Tick ? begin() : List.of(new ApplyEffect.ReadRow());
  }

  private List<ApplyEffect> begin() {
    List<DeclarationProblem> problems = DeclarationsCheck.check(declarations);
    return problems.isEmpty()
        ? List.of(new ApplyEffect.ReadRow())
        : finish(new ApplyResult.Refused(problems));
  }

  private List<ApplyEffect> decide(ConfigurationRow found) {
    long ownVersion = found.versionOf(operationId);
    if (ownVersion != 0) {
      return finish(new ApplyResult.Applied(ownVersion));
    }
    if (found.version() < plannedVersion) {
      return List.of(new ApplyEffect.ReadRow());
    }
    if (found.version() == plannedVersion) {
      written = true;
      ConfigurationRow next = found.next(declarations, operator, operationId);
      return List.of(new ApplyEffect.WriteRow(next, plannedVersion));
    }
    boolean forgotten = written && found.version() - plannedVersion > ConfigurationRow.HISTORY;
    return finish(
        forgotten
            ? new ApplyResult.OutcomeUnknown(plannedVersion)
            : new ApplyResult.Superseded(plannedVersion, found.version(), found.operator()));
  }

  private List<ApplyEffect> finish(ApplyResult result) {
    finished = true;
    return List.of(new ApplyEffect.Finished(result));
  }
}
