package calicochute.gossip;

import java.util.List;

/** A datagram as read: who sent it, and what it carries. The sender's incarnation is its own claim to be alive. */
record Envelope(String sender, long start, int incarnation, List<Part> parts, int unknownParts) {}
