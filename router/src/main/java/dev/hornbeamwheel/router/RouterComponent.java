package dev.hornbeamwheel.router;

import dagger.BindsInstance;
import dagger.Component;
import javax.inject.Singleton;

/** Puts the router together from its settings. */
@Singleton
@Component(modules = RouterModule.class)
interface RouterComponent {
  RouterServer server();

  /** Makes components. */
  @Component.Factory
  interface Factory {
    RouterComponent create(@BindsInstance RouterSettings settings);
  }
}
