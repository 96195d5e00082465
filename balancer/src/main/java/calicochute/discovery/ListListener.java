package calicochute.discovery;

/** Hears on the decision thread what discovery tells. */
public interface ListListener {
    void listed(ServerList list);

    void unavailable();
}
