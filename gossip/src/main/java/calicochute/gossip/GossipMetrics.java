package calicochute.gossip;

import java.util.Locale;

/** Counters and gauges of this balancer's gossip, updated on the gossip thread. */
public final class GossipMetrics {
    /**
     * Metrics, written with their names in lower case and the prefix "gossip_". Bytes of datagrams do not include UDP
     * and IP headers (28 bytes a datagram).
     */
    public enum Metric {
        DATAGRAMS_IN,
        BYTES_IN,
        DATAGRAMS_OUT,
        BYTES_OUT,
        /** Probes begun; their repeated and indirect pings are not counted. */
        PROBES,
        /** Members that became suspect in this balancer's view, whoever noticed it. */
        SUSPICIONS,
        /** Members that became suspect because they did not answer this balancer's probe. */
        SUSPICIONS_OWN,
        /** Members that became dead in this balancer's view. */
        DROPS,
        /** Dead members that are alive again. */
        RETURNS,
        /** Refutations by this balancer of claims that it is not alive. */
        OBJECTIONS,
        /** Reports of two processes with the same id. */
        TWINS,
        /** Versions of entries published by this balancer. */
        SPREAD,
        /** Versions of entries received from other balancers and stored. */
        TAKEN,
        /** Of those taken, the versions that came in answer to a digest or a pull. */
        TAKEN_BY_REPAIR,
        /** Versions of entries sent in answer to a digest or a pull. */
        REPAIRS_SENT,
        /** Digests sent. */
        DIGESTS,
        /** Entries removed at their expiry time. */
        EXPIRED,
        /** Entries removed to make room for others. */
        EVICTED,
        /** Gauge: entries held. */
        ENTRIES,
        /** Gauge: bytes of the entries held, including a fixed overhead for each. */
        ENTRY_BYTES,
        /** Gauge: tombstones of expired entries held. */
        FORGOTTEN,
        /** Internal invariants found violated. */
        INVARIANTS_BROKEN
    }

    private final long[] values = new long[Metric.values().length];
    private final long[] drops = new long[DropCause.values().length];

    public long get(Metric metric) {
        return values[metric.ordinal()];
    }

    public long dropped(DropCause cause) {
        return drops[cause.ordinal()];
    }

    public long dropped() {
        long sum = 0;
        for (long count : drops) {
            sum += count;
        }
        return sum;
    }

    /** One line for each metric: its name, a space, its value. */
    public String text() {
        StringBuilder text = new StringBuilder();
        for (Metric metric : Metric.values()) {
            text.append("gossip_")
                    .append(metric.name().toLowerCase(Locale.ROOT))
                    .append(' ')
                    .append(get(metric))
                    .append('\n');
        }
        for (DropCause cause : DropCause.values()) {
            text.append("gossip_dropped_")
                    .append(cause.name().toLowerCase(Locale.ROOT))
                    .append(' ')
                    .append(dropped(cause))
                    .append('\n');
        }
        return text.toString();
    }

    void increment(Metric metric) {
        values[metric.ordinal()]++;
    }

    void add(Metric metric, long amount) {
        values[metric.ordinal()] += amount;
    }

    void set(Metric metric, long value) {
        values[metric.ordinal()] = value;
    }

    void countDrop(DropCause cause) {
        drops[cause.ordinal()]++;
    }

    /** Counts a violated invariant, and throws where assertions are enabled. */
    void checkInvariant(boolean holds, String description) {
        if (!holds) {
            increment(Metric.INVARIANTS_BROKEN);
        }
        assert holds : description;
    }
}
