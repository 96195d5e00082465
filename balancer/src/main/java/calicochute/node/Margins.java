package calicochute.node;

/** How long before its client gives up a session must have its answer. All in microseconds. */
final class Margins {
    /** An answer has to be written and to arrive. */
    private static final long ANSWER = 15_000;
    /** Of a time that is short already: what a quarter of it leaves out would be no time to serve in. */
    private static final int SHARE = 4;

    private Margins() {}

    /** An answer leaves this long before the client gives up. */
    static long answer(long patience) {
        return Math.min(ANSWER, patience / SHARE);
    }

    /** Later still, and only if the module has not given up by itself, the session is ended for it. */
    static long guard(long patience) {
        return answer(patience) / 3;
    }
}
