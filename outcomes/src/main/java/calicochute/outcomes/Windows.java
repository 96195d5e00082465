package calicochute.outcomes;

/**
 * Windows of the wall clock, numbered alike at all balancers.
 *
 * @param length microseconds
 */
public record Windows(long length) {
    /** Windows of 2 s. */
    public static final Windows USUAL = new Windows(2_000_000);

    public Windows {
        if (length < 1000) {
            throw new IllegalArgumentException("window of " + length + " us");
        }
    }

    public long number(long now) {
        return Math.floorDiv(now, length);
    }

    public long begin(long number) {
        return number * length;
    }

    public long end(long number) {
        return (number + 1) * length;
    }
}
