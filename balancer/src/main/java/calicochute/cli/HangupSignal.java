package calicochute.cli;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/** Hears SIGHUP. Without a handler of its own the virtual machine takes it for an order to end. */
final class HangupSignal {
    private HangupSignal() {}

    /**
     * Runs the task, on a thread of its own, at each SIGHUP from now on. The class that does it is one that the
     * compiler warns of and that has no replacement: hence by reflection, for a build without warnings.
     *
     * @return false if the process was started with SIGHUP ignored, as nohup does: the virtual machine leaves it so,
     *     and the task will never run
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
            Object before = signal.getMethod("handle", signal, signalHandler)
                    .invoke(
                            null,
                            signal.getConstructor(String.class).newInstance("HUP"),
                            Proxy.newProxyInstance(
                                    HangupSignal.class.getClassLoader(), new Class<?>[] {signalHandler}, handler));
            return before != signalHandler.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("this Java does not let SIGHUP be handled", e);
        }
    }
}
