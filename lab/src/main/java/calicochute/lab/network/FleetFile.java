package calicochute.lab.network;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * A balancer's operator file: its cluster, its own id and address, the others with the addresses that they are reached
 * at (the stand-ins'), and what is turned on. {@code state}: the folder that it keeps over its restarts; null for none.
 */
public record FleetFile(
        String cluster,
        String me,
        String listen,
        List<Peer> peers,
        boolean share,
        boolean bandit,
        List<Object> experiments,
        @JsonInclude(JsonInclude.Include.NON_NULL) String state) {
    /** The environment variable by which a balancer finds its file. */
    public static final String VARIABLE = "PROXY_FLEET";

    /** Another balancer. */
    public record Peer(String id, String address) {}

    /** The file of one process of a net, among those that {@code cluster} names by their numbers in it. */
    public static FleetFile of(
            String name,
            Net net,
            int me,
            List<Integer> cluster,
            boolean share,
            boolean bandit,
            List<Object> experiments,
            String state) {
        List<Peer> peers = new ArrayList<>();
        for (int other : cluster) {
            if (other != me) {
                peers.add(new Peer(id(other), text(net.address(other))));
            }
        }
        return new FleetFile(name, id(me), text(net.real(me)), peers, share, bandit, experiments, state);
    }

    public static String id(int number) {
        return "n" + number;
    }

    public String yaml() {
        try {
            return YAMLMapper.builder()
                    .disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER)
                    .build()
                    .writeValueAsString(this);
        } catch (JacksonException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
