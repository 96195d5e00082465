package calicochute.process;

import static calicochute.process.BalancerProcess.await;
import static calicochute.process.BalancerProcess.session;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import calicochute.process.FaultShim.Fault;
import java.util.concurrent.TimeUnit;
import org.junit.Test;

/** Guards against requests without a final response while the system's calls fail for a moment. */
public class SystemCallFaultTest extends SingleServerFixture {
    private static final int ROUNDS = 4;
    private static final long FAULT_MS = 300;
    private static final long CLIENT_TIMEOUT_MS = 2000;
    private static final long LATENESS_MS = 500;

    private final FaultShim shim;

    public SystemCallFaultTest() throws Exception {
        shim = new FaultShim();
    }

    @Override
    BalancerProcess startBalancer() throws Exception {
        return BalancerProcess.withShell(shim.export(), discovery, server);
    }

    private void check(Fault fault, int error) throws Exception {
        // Each request needs a new connection to the server.
        server.closesAfterResponse = true;
        for (int i = 0; i < ROUNDS; i++) {
            shim.set(fault, error);
            ScriptedServer.start(() -> {
                Thread.sleep(FAULT_MS);
                shim.set(fault, FaultShim.NONE);
            });
            String head = session(newSessionId(), "order").replace(": 8000", ": " + CLIENT_TIMEOUT_MS);
            long startNanos = System.nanoTime();
            int status = balancer.send(head, new byte[1]).status();
            long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            assertTrue(status + " after " + elapsedMs, elapsedMs < CLIENT_TIMEOUT_MS + LATENESS_MS);
            await(
                    "served after the fault",
                    () -> balancer.send(session(newSessionId(), "order"), new byte[1])
                                    .status()
                            == 200);
        }
        assertEquals(0, balancer.counter("module_faults"));
    }

    @Test
    public void acceptFails() throws Exception {
        check(Fault.ACCEPT_ERRNO, FaultShim.ECONNABORTED);
        check(Fault.ACCEPT_ERRNO, FaultShim.ENFILE);
    }

    @Test
    public void socketFails() throws Exception {
        check(Fault.SOCKET_ERRNO, FaultShim.ENFILE);
        check(Fault.SOCKET_ERRNO, FaultShim.ENOBUFS);
    }

    @Test
    public void connectFails() throws Exception {
        check(Fault.CONNECT_ERRNO, FaultShim.EADDRNOTAVAIL);
        check(Fault.CONNECT_ERRNO, FaultShim.ENETUNREACH);
    }
}
