package calicochute.lab.network;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * The operator's file of a balancer: its cluster, its own id and address, its peers with the addresses of their proxy
 * sockets, and the features that are enabled. {@code state} is the folder whose contents survive restarts; null for
 * none.
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
    /** The environment variable that names a balancer's operator file. */
    public static final String ENVIRONMENT_VARIABLE = "PROXY_FLEET";

    /** A peer: its id, and the address to which datagrams for it are sent. */
    public record Peer(String id, String address) {}

    /** The file of one process behind the proxy; {@code cluster} has the process numbers of its cluster's members. */
    public static FleetFile of(
            String name,
            DatagramProxy proxy,
            int me,
            List<Integer> cluster,
            boolean share,
            boolean bandit,
            List<Object> experiments,
            String state) {
        List<Peer> peers = new ArrayList<>();
        for (int other : cluster) {
            if (other != me) {
                peers.add(new Peer(id(other), text(proxy.proxyAddress(other))));
            }
        }
        return new FleetFile(name, id(me), text(proxy.processAddress(me)), peers, share, bandit, experiments, state);
    }

    /** The id of the process with this number. */
    public static String id(int number) {
        return "n" + number;
    }

    /** The file's contents as YAML. */
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
