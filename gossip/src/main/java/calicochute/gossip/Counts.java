package calicochute.gossip;

import java.util.Locale;

/** What happened, as counted on the one thread. */
public final class Counts {
    /**
     * BYTES_*: of datagrams, without the headers of UDP and IP (28 a datagram). ENTRIES, ENTRY_BYTES, FORGOTTEN: held
     * now.
     */
    public enum What {
        DATAGRAMS_IN,
        BYTES_IN,
        DATAGRAMS_OUT,
        BYTES_OUT,
        PROBES,
        SUSPICIONS,
        SUSPICIONS_OWN,
        DROPS,
        RETURNS,
        OBJECTIONS,
        TWINS,
        SPREAD,
        TAKEN,
        TAKEN_BY_REPAIR,
        REPAIRS_SENT,
        DIGESTS,
        EXPIRED,
        EVICTED,
        ENTRIES,
        ENTRY_BYTES,
        FORGOTTEN,
        INVARIANTS_BROKEN
    }

    private final long[] happened = new long[What.values().length];
    private final long[] dropped = new long[Cause.values().length];

    public long get(What what) {
        return happened[what.ordinal()];
    }

    public long dropped(Cause cause) {
        return dropped[cause.ordinal()];
    }

    public long dropped() {
        long sum = 0;
        for (long one : dropped) {
            sum += one;
        }
        return sum;
    }

    /** One line a count: its name, a space, its value. */
    public String text() {
        StringBuilder text = new StringBuilder();
        for (What what : What.values()) {
            text.append("gossip_")
                    .append(what.name().toLowerCase(Locale.ROOT))
                    .append(' ')
                    .append(get(what))
                    .append('\n');
        }
        for (Cause cause : Cause.values()) {
            text.append("gossip_dropped_")
                    .append(cause.name().toLowerCase(Locale.ROOT))
                    .append(' ')
                    .append(dropped(cause))
                    .append('\n');
        }
        return text.toString();
    }

    void add(What what) {
        happened[what.ordinal()]++;
    }

    void add(What what, long many) {
        happened[what.ordinal()] += many;
    }

    void set(What what, long value) {
        happened[what.ordinal()] = value;
    }

    void drop(Cause cause) {
        dropped[cause.ordinal()]++;
    }

    /** What must hold: asserted where assertions are on, counted where they are off. */
    void mustHold(boolean holds, String what) {
        if (!holds) {
            add(What.INVARIANTS_BROKEN);
        }
        assert holds : what;
    }
}
