package org.apache.hc.core5.reactor;

import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;

/**
 * Restarts a reactor's periodic check of its connections' timeouts. HttpCore measures the interval by the wall clock:
 * once that is set back, no timeout is noticed until the clock has caught up. This class lives in HttpCore's package
 * for access to the time of the last check; it does not load if a library upgrade renames that.
 */
public final class TimeoutCheck {
    private static final VarHandle LAST_CHECK = lastCheck();

    private TimeoutCheck() {}

    private static VarHandle lastCheck() {
        try {
            return MethodHandles.privateLookupIn(SingleCoreIOReactor.class, MethodHandles.lookup())
                    .findVarHandle(SingleCoreIOReactor.class, "lastTimeoutCheckMillis", long.class);
        } catch (ReflectiveOperationException e) {
            throw new ExceptionInInitializerError(e);
        }
    }

    /** Has a reactor with a single worker check at its next round, unless it is closed; any thread may call. */
    public static void restart(DefaultConnectingIOReactor reactor) {
        try {
            LAST_CHECK.setVolatile(reactor.getWorkerSelector().next(), 0L);
        } catch (IOReactorShutdownException e) {
            // All connections are closed.
        }
    }
}
