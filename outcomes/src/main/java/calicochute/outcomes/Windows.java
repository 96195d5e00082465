package calicochute.outcomes;

/**
 * Divides the wall clock into windows of equal length, numbered alike at all balancers. All times are in microseconds.
 *
 * @param length the length of a window in microseconds
 */
public record Windows(long length) {
    /** Windows of 2 s. */
    public static final Windows DEFAULT = new Windows(2_000_000);

    public Windows {
        if (length < 1000) {
            throw new IllegalArgumentException("window of " + length + " us is shorter than 1000 us");
        }
    }

    /** The number of the window that holds this time. */
    public long number(long now) {
        return Math.floorDiv(now, length);
    }

    /** The time at which a window begins. */
    public long begin(long number) {
        return number * length;
    }

    /** The time at which a window ends (exclusive). */
    public long end(long number) {
        return (number + 1) * length;
    }
}
