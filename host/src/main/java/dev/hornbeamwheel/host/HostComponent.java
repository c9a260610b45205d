package dev.hornbeamwheel.host;

import dagger.BindsInstance;
import dagger.Component;
import javax.inject.Singleton;

/** Dagger component that creates an entry host from its settings. */
@Singleton
@Component(modules = HostModule.class)
interface HostComponent {
  HostServer server();

  HostLog log();

  /** Creates the component of one host. */
  @Component.Factory
  interface Factory {
    HostComponent create(@BindsInstance HostSettings settings);
  }
}
