package calicochute.discovery;

/** Receives what discovery reports, on the decision thread. */
public interface ServerListListener {
    /** A full list or changes were received. */
    void serverListReceived(ServerList list);

    /** Discovery has become unavailable: a call has failed, or two in a row were not answered in time. */
    void discoveryUnavailable();
}
