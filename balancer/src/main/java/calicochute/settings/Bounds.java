package calicochute.settings;

/**
 * Limits on connections and buffers, derived from the configuration's socket and memory limits. Clients and backend
 * servers get equal shares of the sockets that are left after a reserve for the process itself, discovery and
 * connections that are being accepted or closed.
 *
 * @param clientConnections greatest number of connections from clients
 * @param serverConnections greatest number of connections to backend servers
 * @param windowBytes how much of a streamed body is read before its receiver has taken it
 * @param readAheadBytes bytes that may be read beyond that, over all client connections, to notice that a client has
 *     closed its connection
 * @param bodyBytes bytes that all bodies together may hold beyond {@link #INITIAL_WINDOW_BYTES} of each
 */
public record Bounds(int clientConnections, int serverConnections, int windowBytes, int readAheadBytes, int bodyBytes) {
    /**
     * A body up to this length is buffered whole before it is passed on, if there is memory for it; any other is
     * streamed.
     */
    public static final int MAX_BUFFERED_BODY_BYTES = 1 << 16;
    /** Greatest length of a body. */
    public static final int MAX_BODY_BYTES = 1 << 25;
    /** A response without a known length is streamed once it is longer than this; until then its bytes are buffered. */
    public static final int MAX_BUFFERED_UNKNOWN_LENGTH_BYTES = 1 << 14;
    /** Greatest length of a line of a message head. */
    public static final int MAX_LINE_BYTES = 8192;
    /** Greatest length of a message head. */
    public static final int MAX_HEAD_BYTES = 2 * MAX_LINE_BYTES;
    /** Greatest number of header fields of a message. */
    public static final int MAX_HEADERS = 64;
    /** Size of a connection's read buffer. */
    public static final int READ_BUFFER_BYTES = 4096;
    /** What is read of a body before memory is reserved for it, and the least window of a streamed body. */
    public static final int INITIAL_WINDOW_BYTES = 8192;

    /** Bodies may hold this part of the memory limit. */
    private static final int BODY_MEMORY_DIVISOR = 6;
    /** Bodies may hold this part of the heap, whatever the memory limit is. */
    private static final int BODY_HEAP_DIVISOR = 3;
    /** Bodies that are read ahead of their servers may hold this part of the memory limit. */
    private static final int READ_AHEAD_MEMORY_DIVISOR = 16;
    /** Bodies that are read ahead may hold this part of the heap, whatever the memory limit is. */
    private static final int READ_AHEAD_HEAP_DIVISOR = 8;
    /** Greatest number of connections to the admin address, idle ones included. */
    public static final int ADMIN_CONNECTIONS = 32;
    /**
     * Connections that an acceptor accepts beyond its limit before it closes another one; they are part of the reserved
     * sockets.
     */
    public static final int EXTRA_ACCEPTED_CONNECTIONS = 8;
    /** Descriptors that the admin address needs besides its connections: its selectors and its listener. */
    private static final int ADMIN_DESCRIPTORS = 8;

    private static final int MAX_READ_AHEAD_BYTES = 1 << 24;
    /** Descriptors that neither clients nor backend servers get. */
    private static final int RESERVED_DESCRIPTORS = 48;
    /** Connections to either side, however low the limit on sockets. */
    private static final int MIN_CONNECTIONS = 16;

    /**
     * Derives the limits of a process.
     *
     * @param sockets greatest number of open sockets
     * @param admin whether there is an admin address
     * @param memoryMb memory limit of the process in MiB
     */
    public static Bounds of(int sockets, boolean admin, int memoryMb) {
        return of(sockets, admin, memoryMb, Runtime.getRuntime().maxMemory());
    }

    /** As above, with the greatest size of the heap, whatever the memory limit is. */
    static Bounds of(int sockets, boolean admin, int memoryMb, long heapBytes) {
        int reserved = RESERVED_DESCRIPTORS + (admin ? ADMIN_CONNECTIONS + ADMIN_DESCRIPTORS : 0);
        int each = Math.max(MIN_CONNECTIONS, (sockets - reserved) / 2);
        long memoryBytes = (long) memoryMb << 20;
        long bodyBytes = Math.min(memoryBytes / BODY_MEMORY_DIVISOR, heapBytes / BODY_HEAP_DIVISOR);
        // Each client connection may have a request body and a response body in transit.
        long share = bodyBytes / (2L * each);
        return new Bounds(
                each,
                each,
                (int) Math.max(INITIAL_WINDOW_BYTES, Math.min(MAX_BUFFERED_BODY_BYTES, share)),
                (int) Math.min(
                        MAX_READ_AHEAD_BYTES,
                        Math.min(memoryBytes / READ_AHEAD_MEMORY_DIVISOR, heapBytes / READ_AHEAD_HEAP_DIVISOR)),
                (int) Math.min(Integer.MAX_VALUE, bodyBytes));
    }
}
