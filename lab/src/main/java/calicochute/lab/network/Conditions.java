package calicochute.lab.network;

/**
 * What becomes of datagrams where nothing is wrong: the part lost, the time one way in microseconds, the part that
 * comes twice, and the part held back so that later ones overtake it.
 */
public record Conditions(double loss, long delay, double repeat, double reorder) {
    /** Nothing is lost, late or out of order. */
    public static final Conditions CLEAN = new Conditions(0, 0, 0, 0);

    public Conditions {
        if (!(loss >= 0 && loss <= 1 && repeat >= 0 && repeat <= 1 && reorder >= 0 && reorder <= 1 && delay >= 0)) {
            throw new IllegalArgumentException("parts lie between 0 and 1, a delay is not negative");
        }
    }
}
