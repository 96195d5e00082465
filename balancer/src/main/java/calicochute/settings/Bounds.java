package calicochute.settings;

/**
 * How much of everything the configuration's limits leave room for. Descriptors are shared between clients and backend
 * servers; what the program itself, discovery and connections just being accepted or closed need is set aside first.
 */
public record Bounds(int clientConnections, int serverConnections) {
    /** No message has a longer body. */
    public static final int BODY = 1 << 16;
    /** A head's lines, and the fields it may have. */
    public static final int LINE = 8192;
    public static final int FIELDS = 64;
    /** What one connection reads at a time. */
    public static final int BUFFER = 4096;
    /** Connections to the second address, for its staff and those who only sit on them. */
    public static final int ADMIN_CONNECTIONS = 32;
    /** What the second address needs beside its connections: its selectors and its listener. */
    private static final int ADMIN_OWN = 8;
    private static final int SET_ASIDE = 48;
    private static final int FEWEST = 16;

    /** @param admin whether there is a second address */
    public static Bounds of(int sockets, boolean admin) {
        int aside = SET_ASIDE + (admin ? ADMIN_CONNECTIONS + ADMIN_OWN : 0);
        int each = Math.max(FEWEST, (sockets - aside) / 2);
        return new Bounds(each, each);
    }
}
