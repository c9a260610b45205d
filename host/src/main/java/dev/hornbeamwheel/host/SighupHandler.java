package dev.hornbeamwheel.host;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, which announces changed settings; without a handler it terminates the process.
 *
 * <p>Calls {@code sun.misc.Signal} by reflection because the JDK has no public API for signals.
 */
final class SighupHandler {
  private SighupHandler() {}

  /** Runs {@code action} on a JDK thread for each SIGHUP; returns false if that is impossible. */
  static boolean install(Runnable action) {
    try {
      Class<?> signalClass = Class.forName("sun.misc.Signal");
      Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
      InvocationHandler invocations =
          (proxy, method, args) -> dispatch(action, proxy, method, args);
      Object handler =
          Proxy.newProxyInstance(
              handlerClass.getClassLoader(), new Class<?>[] {handlerClass}, invocations);
      Object sighup = signalClass.getConstructor(String.class).newInstance("HUP");
      signalClass.getMethod("handle", signalClass, handlerClass).invoke(null, sighup, handler);
      return true;
    } catch (ReflectiveOperationException e) {
      return false;
    }
  }

  private static Object dispatch(Runnable action, Object proxy, Method method, Object[] args) {
    return switch (method.getName()) {
      case "handle" -> {
        action.run();
        yield null;
      }
      case "equals" -> proxy == args[0];
      case "hashCode" -> System.identityHashCode(proxy);
      default -> "SIGHUP handler";
    };
  }
}
