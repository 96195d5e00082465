package calicochute.cli;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/** Handles SIGHUP, which ends a Java program that installs no handler for it. */
final class HangupSignal {
    private HangupSignal() {}

    /**
     * Runs the task at each SIGHUP from now on, on a thread that the virtual machine starts for it. The JDK's signal
     * class is called by reflection, because the compiler warns of it and it has no replacement.
     *
     * @return false if the process was started with SIGHUP ignored, as nohup does: the virtual machine keeps ignoring
     *     it, and the task will never run
     */
    static boolean handle(Runnable task) {
        InvocationHandler handler = (proxy, method, arguments) -> {
            switch (method.getName()) {
                case "handle" -> task.run();
                case "equals" -> {
                    return proxy == arguments[0];
                }
                case "hashCode" -> {
                    return System.identityHashCode(proxy);
                }
                default -> {
                    return "SIGHUP handler";
                }
            }
            return null;
        };
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> signalHandler = Class.forName("sun.misc.SignalHandler");
            Object previous = signal.getMethod("handle", signal, signalHandler)
                    .invoke(
                            null,
                            signal.getConstructor(String.class).newInstance("HUP"),
                            Proxy.newProxyInstance(
                                    HangupSignal.class.getClassLoader(), new Class<?>[] {signalHandler}, handler));
            return previous != signalHandler.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("this Java runtime offers no handling of SIGHUP", e);
        }
    }
}
