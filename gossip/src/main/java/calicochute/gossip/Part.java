package calicochute.gossip;

/** One thing a datagram carries; several are bundled. */
sealed interface Part {
    /** Asks the receiver for an Ack of the same number. */
    record Ping(int number) implements Part {}

    record Ack(int number) implements Part {}

    /** Asks the receiver to ping the target, and to hand its answer on as an AckFor of this number. */
    record AskPing(int number, String target) implements Part {}

    record AckFor(int number, String target) implements Part {}

    record Rumour(String id, long start, int incarnation, State state) implements Part {}

    record Direct(int channel, byte[] body) implements Part {}

    /** Author null: the sender of the datagram itself (saves its name). */
    record Spread(String author, long authorStart, int channel, String key, long version, long until, byte[] body)
            implements Part {}

    /**
     * All entries with hashes from `low` to `high` as the sender holds them; `members` hashes its view of who is there.
     */
    record Digest(long low, long high, int members, byte[] marks) implements Part {}

    /** A byte for each member of the list as the sender sees it; `answer`: asks for the receiver's too. */
    record View(int list, int salt, boolean answer, byte[] marks) implements Part {}

    /** Asks for entries by their hashes. */
    record Pull(byte[] hashes) implements Part {}
}
