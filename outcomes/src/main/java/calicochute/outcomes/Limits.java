package calicochute.outcomes;

/**
 * Bounds of what is kept and sent.
 *
 * @param body bytes of one body
 * @param subjects of one origin in one window, and known ones
 * @param unknown subjects that rows are held of, and tallies in each window, though no list has named them (yet)
 * @param counts dispatches of one origin to one subject in a window
 * @param witnesses of one subject in a window
 * @param entries tallies held as an owner, over all windows (about 170 bytes each)
 * @param rows windows that a reader keeps of each subject
 * @param ahead windows that another's clock may be ahead
 * @param behind windows that a report may be late
 * @param cap times the median witness's dispatches that a witness counts at most
 * @param resend microseconds after which a report is sent again
 * @param sends how often it is sent in all
 * @param settle microseconds from the first report of a window to its first rows
 * @param gap microseconds between two publications of the same rows by the first two owners in turn (half of it after
 *     the first)
 * @param rate bytes a second that this balancer publishes at most, to all peers together: news first
 */
public record Limits(
        int body,
        int subjects,
        int unknown,
        long counts,
        int witnesses,
        int entries,
        int rows,
        int ahead,
        int behind,
        int cap,
        long resend,
        int sends,
        long settle,
        long gap,
        long rate) {
    public static final Limits USUAL =
            new Limits(1000, 1024, 256, 1_000_000, 1024, 32_768, 10, 2, 30, 3, 300_000, 2, 500_000, 1_000_000, 28_000);

    /** With another body's size a chunk's rows might not fit. */
    public Limits {
        if (body < 200
                || subjects < 1
                || counts > 1_000_000
                || witnesses > 1024
                || behind < 1
                || behind > 30
                || ahead < 0
                || rows < 1
                || sends < 1) {
            throw new IllegalArgumentException("limits out of range");
        }
    }
}
