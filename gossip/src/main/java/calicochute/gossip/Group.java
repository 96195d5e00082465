package calicochute.gossip;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Those who belong together by the operator's file: only they are ever heard or counted. */
public record Group(String cluster, String me, List<Member> members) {
    static final int LONGEST_ID =
            64; // bytes of UTF-8: one entry of 1,000 bytes still fits into a datagram with two of them
    static final int MOST_MEMBERS = 2_000;

    public Group {
        members = List.copyOf(members);
        Set<String> ids = new HashSet<>();
        for (Member member : members) {
            int length = member.id().getBytes(StandardCharsets.UTF_8).length;
            if (length == 0 || length > LONGEST_ID) {
                throw new IllegalArgumentException(
                        "id of a member has to be of 1 to " + LONGEST_ID + " bytes: " + member.id());
            }
            if (!ids.add(member.id())) {
                throw new IllegalArgumentException("id twice among the members: " + member.id());
            }
        }
        if (!ids.contains(me)) {
            throw new IllegalArgumentException("not among the members: " + me);
        }
        if (members.size() > MOST_MEMBERS) {
            throw new IllegalArgumentException("more than " + MOST_MEMBERS + " members");
        }
    }
}
