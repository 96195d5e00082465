package calicochute.settings;

/**
 * How much of everything the configuration's limits leave room for. Descriptors are shared between clients and backend
 * servers; what the program itself, discovery and connections just being accepted or closed need is set aside first.
 *
 * @param window how far ahead of its server a long message is read
 * @param ahead bytes that all clients' connections together may be read beyond that, for their ends to be seen
 */
public record Bounds(int clientConnections, int serverConnections, int window, int ahead) {
    /** A message up to this long is handed on whole; a longer one in pieces. */
    public static final int BODY = 1 << 16;
    /** No message has a longer body. */
    public static final int LONGEST_BODY = 1 << 25;
    /** An answer of untold length is handed on in pieces from here on: its first bytes are waited for. */
    public static final int UNTOLD = 1 << 14;
    /** A head's lines, and the fields it may have. */
    public static final int LINE = 8192;

    public static final int FIELDS = 64;
    /** What one connection reads at a time. */
    public static final int BUFFER = 4096;
    /** What is read ahead while it is not known yet whether a message is short. */
    public static final int WINDOW = BODY + BUFFER;

    private static final int LEAST_WINDOW = 8192;
    /** Connections to the second address, for its staff and those who only sit on them. */
    public static final int ADMIN_CONNECTIONS = 32;
    /**
     * Connections that either acceptor takes in beyond what there is room for, before another one is ended: of what is
     * set aside.
     */
    public static final int AHEAD = 8;
    /** What the second address needs beside its connections: its selectors and its listener. */
    private static final int ADMIN_OWN = 8;

    private static final int MOST_AHEAD = 1 << 24;
    private static final int SET_ASIDE = 48;
    private static final int FEWEST = 16;

    /**
     * @param admin whether there is a second address
     * @param memoryMb what the process may hold; a sixth of it is for messages on their way
     */
    public static Bounds of(int sockets, boolean admin, int memoryMb) {
        int aside = SET_ASIDE + (admin ? ADMIN_CONNECTIONS + ADMIN_OWN : 0);
        int each = Math.max(FEWEST, (sockets - aside) / 2);
        // Each client's connection may have a body on its way in and one on its way out.
        long share = ((long) memoryMb << 20) / 6 / (2L * each);
        return new Bounds(each, each, (int) Math.max(LEAST_WINDOW, Math.min(BODY, share)), (int)
                Math.min(MOST_AHEAD, ((long) memoryMb << 20) / 16));
    }
}
