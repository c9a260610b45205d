package dev.hornbeamwheel.host;

import dagger.BindsInstance;
import dagger.Component;
import javax.inject.Singleton;

/** Puts the entry host together from its settings. */
@Singleton
@Component(modules = HostModule.class)
interface HostComponent {
  HostServer server();

  HostLog log();

  /** Makes components. */
  @Component.Factory
  interface Factory {
    HostComponent create(@BindsInstance HostSettings settings);
  }
}
