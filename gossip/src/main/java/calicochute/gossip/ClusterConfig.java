package calicochute.gossip;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The members that the operator's file lists; datagrams from any other sender are dropped.
 *
 * @param cluster name of the cluster; datagrams of another cluster are dropped
 * @param localId id of this balancer, which has to be among the members
 */
public record ClusterConfig(String cluster, String localId, List<Member> members) {
    /** In UTF-8. An entry of 1,000 bytes still fits into a datagram that names two members. */
    static final int MAX_ID_BYTES = 64;

    static final int MAX_MEMBERS = 2_000;

    public ClusterConfig {
        members = List.copyOf(members);
        Set<String> ids = new HashSet<>();
        for (Member member : members) {
            int length = member.id().getBytes(StandardCharsets.UTF_8).length;
            if (length == 0 || length > MAX_ID_BYTES) {
                throw new IllegalArgumentException(
                        "member id must be 1 to " + MAX_ID_BYTES + " bytes long: " + member.id());
            }
            if (!ids.add(member.id())) {
                throw new IllegalArgumentException("duplicate member id: " + member.id());
            }
        }
        if (!ids.contains(localId)) {
            throw new IllegalArgumentException("local id is not among the members: " + localId);
        }
        if (members.size() > MAX_MEMBERS) {
            throw new IllegalArgumentException("more than " + MAX_MEMBERS + " members");
        }
    }
}
