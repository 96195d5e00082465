package calicochute.lab.network;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Sends datagrams between plain sockets through the proxy. */
@Timeout(60)
class DatagramProxyTest {
    private static void send(DatagramSocket from, DatagramProxy proxy, int to, String text) throws Exception {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        from.send(new DatagramPacket(bytes, bytes.length, proxy.proxyAddress(to)));
    }

    private static DatagramPacket receive(DatagramSocket at) throws Exception {
        DatagramPacket packet = new DatagramPacket(new byte[2000], 2000);
        at.setSoTimeout(20_000);
        at.receive(packet);
        return packet;
    }

    private static String text(DatagramPacket packet) {
        return new String(packet.getData(), 0, packet.getLength(), StandardCharsets.UTF_8);
    }

    /** Waits until a counter has a value, for datagrams that no socket receives. */
    private static void await(DatagramProxy proxy, DatagramProxy.Count counter, long count) {
        while (proxy.count(counter) < count) {
            Thread.onSpinWait();
        }
        assertEquals(count, proxy.count(counter));
    }

    @Test
    void receiversSeeTheSendersProxyAddressAndCanReplyToIt() throws Exception {
        try (DatagramProxy proxy = DatagramProxy.onLoopback(3, 5);
                DatagramSocket first = new DatagramSocket(proxy.processAddress(0));
                DatagramSocket second = new DatagramSocket(proxy.processAddress(1));
                DatagramSocket unknownSender = new DatagramSocket()) {
            send(first, proxy, 1, "hello");
            DatagramPacket received = receive(second);
            assertEquals("hello", text(received));
            assertEquals(proxy.proxyAddress(0), received.getSocketAddress());
            received.setData("back".getBytes(StandardCharsets.UTF_8));
            second.send(received);
            assertEquals("back", text(receive(first)));
            send(unknownSender, proxy, 1, "who am I");
            await(proxy, DatagramProxy.Count.UNKNOWN, 1);
            send(first, proxy, 1, "after");
            assertEquals("after", text(receive(second)));
        }
    }

    @Test
    void faultsBeginAndEndAtRunTime() throws Exception {
        try (DatagramProxy proxy = DatagramProxy.onLoopback(2, 5);
                DatagramSocket first = new DatagramSocket(proxy.processAddress(0));
                DatagramSocket second = new DatagramSocket(proxy.processAddress(1))) {
            proxy.cut(0, 1);
            send(first, proxy, 1, "cut off");
            await(proxy, DatagramProxy.Count.CUT, 1);
            send(second, proxy, 0, "the other way");
            assertEquals("the other way", text(receive(first)));
            proxy.heal();
            send(first, proxy, 1, "healed");
            assertEquals("healed", text(receive(second)));
            proxy.split(0);
            send(second, proxy, 0, "split");
            await(proxy, DatagramProxy.Count.CUT, 2);
            proxy.heal();
            proxy.setLoss(1);
            send(second, proxy, 0, "lost");
            await(proxy, DatagramProxy.Count.LOST, 1);
            proxy.setLoss(0);
            send(second, proxy, 0, "kept");
            assertEquals("kept", text(receive(first)));
            assertEquals(3, proxy.count(DatagramProxy.Count.DELIVERED));
        }
    }

    @Test
    void aClosedProxyForwardsNothingAndFreesItsPorts() throws Exception {
        DatagramProxy proxy = DatagramProxy.onLoopback(2, 5);
        proxy.close();
        try (DatagramSocket first = new DatagramSocket(proxy.processAddress(0));
                DatagramSocket second = new DatagramSocket(proxy.processAddress(1));
                DatagramSocket replacement = new DatagramSocket(proxy.proxyAddress(1))) {
            send(first, proxy, 1, "to whom");
            assertEquals("to whom", text(receive(replacement)));
            second.setSoTimeout(1);
            assertThrows(SocketTimeoutException.class, () -> second.receive(new DatagramPacket(new byte[9], 9)));
        }
    }

    @Test
    void theOperatorsFileHasTheProxyAddressesOfThePeers() throws Exception {
        try (DatagramProxy proxy = DatagramProxy.onLoopback(3, 5)) {
            FleetFile file = FleetFile.of(
                    "front: 1", proxy, 2, List.of(0, 2), true, false, List.of(java.util.Map.of("name", "e1")), null);
            JsonNode read = new YAMLMapper().readTree(file.yaml());
            assertEquals("front: 1", read.get("cluster").asText());
            assertEquals("n2", read.get("me").asText());
            assertEquals(
                    "127.0.0.1:" + proxy.processAddress(2).getPort(),
                    read.get("listen").asText());
            assertEquals(
                    "[{\"id\":\"n0\",\"address\":\"127.0.0.1:"
                            + proxy.proxyAddress(0).getPort() + "\"}]",
                    read.get("peers").toString());
            assertEquals("e1", read.get("experiments").get(0).get("name").asText());
            assertEquals(
                    "true false",
                    read.get("share").asBoolean() + " " + read.get("bandit").asBoolean());
            assertFalse(read.has("state"));
        }
    }
}
