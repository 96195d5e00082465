package calicochute.lab.network;

/**
 * The conditions of all links when no fault is active: the share of datagrams lost, the one-way delay in microseconds,
 * the share delivered twice, and the share held back so that later datagrams overtake them.
 */
public record Conditions(double loss, long delay, double repeat, double reorder) {
    /** No loss, delay, duplicates or reordering. */
    public static final Conditions CLEAN = new Conditions(0, 0, 0, 0);

    public Conditions {
        if (!(loss >= 0 && loss <= 1 && repeat >= 0 && repeat <= 1 && reorder >= 0 && reorder <= 1 && delay >= 0)) {
            throw new IllegalArgumentException(
                    "loss, repeat and reorder must be between 0 and 1, delay must not be negative");
        }
    }
}
