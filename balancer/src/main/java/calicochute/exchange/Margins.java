package calicochute.exchange;

/** How long before the client's timeout a session must have its response. */
public final class Margins {
    /** Time to write a response and for it to arrive. */
    private static final long RESPONSE_MARGIN_MICROS = 15_000;
    /**
     * The margin is at most the timeout divided by this, so that most of a short timeout remains to serve a session.
     */
    private static final int TIMEOUT_DIVISOR = 4;

    private Margins() {}

    /** The response is sent this long before the client's timeout. */
    public static long responseMicros(long timeoutMicros) {
        return Math.min(RESPONSE_MARGIN_MICROS, timeoutMicros / TIMEOUT_DIVISOR);
    }

    /** If the decision module has not answered by then, the session is ended this long before the client's timeout. */
    public static long guardMicros(long timeoutMicros) {
        return responseMicros(timeoutMicros) / 3;
    }
}
