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

/** Datagrams between plain sockets, led through the net. */
@Timeout(60)
class NetTest {
    private static void send(DatagramSocket from, Net net, int to, String text) throws Exception {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        from.send(new DatagramPacket(bytes, bytes.length, net.address(to)));
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

    /** Waits until so many were counted: what is decided on is not received by anybody. */
    private static void await(Net net, Net.Counted what, long count) {
        while (net.count(what) < count) {
            Thread.onSpinWait();
        }
        assertEquals(count, net.count(what));
    }

    @Test
    void theSenderIsKnownByItsStandInAndAnswersGoBack() throws Exception {
        try (Net net = Net.between(3, 5);
                DatagramSocket a = new DatagramSocket(net.real(0));
                DatagramSocket b = new DatagramSocket(net.real(1));
                DatagramSocket stranger = new DatagramSocket()) {
            send(a, net, 1, "hello");
            DatagramPacket got = receive(b);
            assertEquals("hello", text(got));
            assertEquals(net.address(0), got.getSocketAddress());
            got.setData("back".getBytes(StandardCharsets.UTF_8));
            b.send(got);
            assertEquals("back", text(receive(a)));
            send(stranger, net, 1, "who am I");
            await(net, Net.Counted.UNKNOWN, 1);
            send(a, net, 1, "after");
            assertEquals("after", text(receive(b)));
        }
    }

    @Test
    void faultsComeAndGoAtRunTime() throws Exception {
        try (Net net = Net.between(2, 5);
                DatagramSocket a = new DatagramSocket(net.real(0));
                DatagramSocket b = new DatagramSocket(net.real(1))) {
            net.cut(0, 1);
            send(a, net, 1, "cut off");
            await(net, Net.Counted.CUT, 1);
            send(b, net, 0, "the other way");
            assertEquals("the other way", text(receive(a)));
            net.heal();
            send(a, net, 1, "healed");
            assertEquals("healed", text(receive(b)));
            net.split(0);
            send(b, net, 0, "split");
            await(net, Net.Counted.CUT, 2);
            net.heal();
            net.loss(1);
            send(b, net, 0, "lost");
            await(net, Net.Counted.LOST, 1);
            net.loss(0);
            send(b, net, 0, "kept");
            assertEquals("kept", text(receive(a)));
            assertEquals(3, net.count(Net.Counted.DELIVERED));
        }
    }

    @Test
    void aClosedNetCarriesNothingAndAFreePortIsLeft() throws Exception {
        Net net = Net.between(2, 5);
        net.close();
        try (DatagramSocket a = new DatagramSocket(net.real(0));
                DatagramSocket b = new DatagramSocket(net.real(1));
                DatagramSocket standIn = new DatagramSocket(net.address(1))) {
            send(a, net, 1, "to whom");
            assertEquals("to whom", text(receive(standIn)));
            b.setSoTimeout(1);
            assertThrows(SocketTimeoutException.class, () -> b.receive(new DatagramPacket(new byte[9], 9)));
        }
    }

    @Test
    void theOperatorsFileNamesTheOthersByTheirStandIns() throws Exception {
        try (Net net = Net.between(3, 5)) {
            FleetFile file = FleetFile.of(
                    "front: 1", net, 2, List.of(0, 2), true, false, List.of(java.util.Map.of("name", "e1")), null);
            JsonNode read = new YAMLMapper().readTree(file.yaml());
            assertEquals("front: 1", read.get("cluster").asText());
            assertEquals("n2", read.get("me").asText());
            assertEquals(
                    "127.0.0.1:" + net.real(2).getPort(), read.get("listen").asText());
            assertEquals(
                    "[{\"id\":\"n0\",\"address\":\"127.0.0.1:" + net.address(0).getPort() + "\"}]",
                    read.get("peers").toString());
            assertEquals("e1", read.get("experiments").get(0).get("name").asText());
            assertEquals(
                    "true false",
                    read.get("share").asBoolean() + " " + read.get("bandit").asBoolean());
            assertFalse(read.has("state"));
        }
    }
}
