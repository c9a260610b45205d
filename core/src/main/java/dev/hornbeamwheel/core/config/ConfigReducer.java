package dev.hornbeamwheel.core.config;

import dev.hornbeamwheel.core.Reducer;
import dev.hornbeamwheel.core.model.MemberId;
import dev.hornbeamwheel.core.placement.Rendezvous;
import java.util.ArrayList;
import java.util.List;

/**
 * Follows the single version line of the configuration and never goes back on it.
 *
 * <p>A few members of each data centre poll the platform; the others learn from their peers.
 */
public final class ConfigReducer implements Reducer<ConfigEvent, ConfigEffect> {
  /** Members of a data centre that poll the configuration row. */
  static final int POLLERS = 2;

  /** Time between two polls of one poller, in milliseconds. */
  static final long POLL_MILLIS = 500;

  private final MemberId self;
  private final VersionRule rule;
  private Configuration current = Configuration.initial();
  private boolean poller = true;
  private long nextPollMillis = Long.MIN_VALUE;

  private ConfigReducer(MemberId self, VersionRule rule) {
    this.self = self;
    this.rule = rule;
  }

  /** Returns the reducer of one process, which polls until it knows peers. */
  public static ConfigReducer of(MemberId self) {
    return withRule(self, VersionRule.FORWARD_ONLY);
  }

  /** Returns a reducer with a rule of its own, for tests that show what the rule prevents. */
  static ConfigReducer withRule(MemberId self, VersionRule rule) {
    return new ConfigReducer(self, rule);
  }

  /** Returns the configuration in force. */
  public Configuration current() {
    return current;
  }

  @Override
  public List<ConfigEffect> reduce(ConfigEvent event) {
    if (event instanceof ConfigEvent.ConfigurationRead read) {
      return accept(read.configuration(), true);
    }
    if (event instanceof ConfigEvent.ConfigurationLearned learned) {
      return accept(learned.configuration(), false);
    }
    if (event instanceof ConfigEvent.PeersKnown peers) {
      poller = Rendezvous.isAmongTopWeighted(self, peers.members(), ConfigurationRow.NAME, POLLERS);
      return List.of();
    }
    return poll(event.atMillis());
  }

  private List<ConfigEffect> accept(Configuration candidate, boolean publish) {
    if (!rule.accepts(current.version(), candidate.version())) {
      return List.of();
    }
    current = candidate;
    List<ConfigEffect> effects = new ArrayList<>();
    effects.add(new ConfigEffect.InForce(candidate));
    if (publish) {
      effects.add(new ConfigEffect.Publish(candidate));
    }
    return effects;
  }

  private List<ConfigEffect> poll(long nowMillis) {
    if (!poller || nowMillis < nextPollMillis) {
      return List.of();
    }
    nextPollMillis = nowMillis + POLL_MILLIS;
    return List.of(new ConfigEffect.PollConfigurationRow());
  }
}
