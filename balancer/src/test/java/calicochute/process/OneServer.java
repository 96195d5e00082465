package calicochute.process;

import java.util.concurrent.CountDownLatch;
import org.junit.After;
import org.junit.Before;

/** The smallest site: a discovery that has nothing to tell, one backend server, and the program before it. */
abstract class OneServer {
    static final String ID = "9b1f03aa5c7e2d41";
    /** Lets go whatever a script holds back; at the end all of it. */
    final CountDownLatch release = new CountDownLatch(1);

    Peer discovery;
    Peer server;
    Program program;

    @Before
    public void start() throws Exception {
        discovery = Peer.silent(release);
        server = new Peer(r -> Http.answer(200, "", "a map"));
        program = program();
    }

    Program program() throws Exception {
        return new Program(discovery, server);
    }

    @After
    public void stop() throws Exception {
        release.countDown();
        program.stop();
        server.close();
        discovery.close();
    }
}
