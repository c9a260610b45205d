package dev.hornbeamwheel.host;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;

/**
 * Takes the signal that tells of changed settings; without a handler it would end the process.
 *
 * <p>The JDK's signal class is reached by reflection, as it has no public interface for signals.
 */
final class SighupHandler {
  private SighupHandler() {}

  /** Calls {@code action} on each signal, on a thread of the JDK; returns whether that works. */
  static boolean install(Runnable action) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      InvocationHandler calls = (proxy, method, args) -> dispatch(action, proxy, method, args);
      Object proxy =
          Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler}, calls);
      Object hangup = signal.getConstructor(String.class).newInstance("HUP");
      signal.getMethod("handle", signal, handler).invoke(null, hangup, proxy);
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
      default -> "hangup handler";
    };
  }
}
