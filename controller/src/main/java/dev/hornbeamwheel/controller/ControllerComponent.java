package dev.hornbeamwheel.controller;

import dagger.BindsInstance;
import dagger.Component;
import javax.inject.Singleton;

/** Puts the controller together from its settings and what it needs from outside. */
@Singleton
@Component(modules = ControllerModule.class)
interface ControllerComponent {
  ControllerServer server();

  /** Makes components. */
  @Component.Factory
  interface Factory {
    ControllerComponent create(
        @BindsInstance ControllerSettings settings, @BindsInstance PlatformServices platform);
  }
}
