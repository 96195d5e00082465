package calicochute.exchange;

/** Takes what frontends hear from clients; any thread may call, and nothing blocks. */
public interface Sessions {
    void taken(Exchange exchange);

    /** The last byte of a session that was taken while its body still came. */
    void arrived(Exchange exchange);

    void clientGone(Exchange exchange);

    /** An answer in pieces is over: its last byte is out, or it was cut. */
    void passed(Exchange exchange, boolean whole);
}
