package calicochute.frontend;

import java.io.IOException;
import java.net.InetSocketAddress;

/** Takes in clients' connections, and carries them on one I/O thread. */
interface Listening {
    /** Accepts from now on; returns the address in use. */
    InetSocketAddress start() throws IOException, InterruptedException;

    /** Accepts no more; the connections that there are go on. */
    void stopAccepting();

    /** Ends all connections. */
    void close();
}
