package calicochute.exchange;

/** Takes what frontends hear from clients; any thread may call, and nothing blocks. */
public interface Sessions {
    void taken(Exchange exchange);

    void clientGone(Exchange exchange);
}
