package calicochute.connection;

import static org.junit.Assert.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.Test;

public class ConnectorTest {
    /**
     * Guards against a name lookup on the thread that opens connections, the decision thread among them: where nobody
     * answers for the address's name, each first connection to a server held up all sessions (measured: for seconds).
     * An address that has been looked up carries its name before the slash.
     */
    @Test
    public void noNameIsLookedUpForAnAddress() throws Exception {
        InetAddress address = InetAddress.getByAddress(new byte[] {127, 77, 33, 11});
        try (ServerSocket server = new ServerSocket(0, 5, address); Connector connector = new Connector()) {
            connector.start();
            CountDownLatch opened = new CountDownLatch(1);
            connector.open(new InetSocketAddress(address, server.getLocalPort()), 5_000_000, c -> opened.countDown(),
                e -> { }, c -> { });
            assertTrue(opened.await(20, TimeUnit.SECONDS));
            assertTrue(address.toString(), address.toString().startsWith("/"));
        }
    }
}
