package calicochute.process;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.fail;

import java.util.concurrent.CountDownLatch;
import org.junit.After;
import org.junit.Before;

/** Base of tests with one balancer, one backend server and a discovery service without changes to report. */
abstract class SingleServerFixture {
    private static final int MAX_REFUSED_UPLOADS = 20;

    static final String SESSION_ID = "9b1f03aa5c7e2d41";
    /** Releases the scripts that hold back a response; counted down at the end of each test at the latest. */
    final CountDownLatch release = new CountDownLatch(1);

    ScriptedServer discovery;
    ScriptedServer server;
    BalancerProcess balancer;

    private int sessionNumber;

    /** An id that no earlier session of the test has: one that may have been executed is not sent on again. */
    final String newSessionId() {
        return String.format("%016x", 0xc000 + ++sessionNumber);
    }

    @Before
    public void start() throws Exception {
        discovery = ScriptedServer.silent(release);
        server = new ScriptedServer(r -> HttpMessage.response(200, "", "a map"));
        balancer = startBalancer();
    }

    BalancerProcess startBalancer() throws Exception {
        return new BalancerProcess(discovery, server);
    }

    /**
     * Has one request served, so that a connection to the server is open: a long request is not dispatched if its
     * connection takes long and the client may have left meanwhile.
     */
    final void openServerConnection() throws Exception {
        String head = BalancerProcess.session("0000000000000001", "view");
        assertEquals(200, balancer.send(head).status());
        assertEquals(1, server.requests.size());
    }

    /** Sends a part of a request on a connection of its own and closes it. */
    interface Upload {
        void send(String sessionId) throws Exception;
    }

    /**
     * Sends an upload until its dispatch has begun and is cancelled. On a busy machine the first ones may be refused,
     * because it was not known for too long whether the client was connected.
     */
    final void awaitCancelledUpload(Upload upload) throws Exception {
        for (int i = 0; i < MAX_REFUSED_UPLOADS; i++) {
            long refused = balancer.counter("sessions_client_unobserved");
            upload.send(newSessionId());
            BalancerProcess.await(
                    "the dispatch is cancelled, or refused",
                    () -> balancer.counter("dispatches_cancelled") == 1
                            || balancer.counter("sessions_client_unobserved") > refused);
            if (balancer.counter("dispatches_cancelled") == 1) {
                return;
            }
        }
        fail("no upload was dispatched");
    }

    @After
    public void stop() throws Exception {
        release.countDown();
        balancer.stop();
        server.close();
        discovery.close();
    }
}
