package calicochute.gossip;

import java.util.List;

/**
 * Content of a received datagram.
 *
 * @param sender id of the sending member
 * @param senderStart start time of the sending process
 * @param incarnation incarnation with which the sender claims to be alive
 * @param unknownMessages number of messages skipped because their kind is unknown
 */
record DecodedDatagram(String sender, long senderStart, int incarnation, List<Message> messages, int unknownMessages) {}
