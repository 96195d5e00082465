package calicochute.experiment.seal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Queues outgoing messages. A message that depends on state that is not persisted yet waits until it is. A message to
 * this peer itself is looped back.
 */
final class Outbox {
    /** A message that may leave once the given number of state changes is persisted. */
    private record QueuedMessage(int recipient, Message message, long requiredChange) {}

    private final Codec codec;
    private final List<String> peers;
    private final int selfIndex;
    private final boolean persistent;
    private final int maxQueued;
    private final ArrayDeque<QueuedMessage> queue = new ArrayDeque<>();
    private final ArrayDeque<Message> loopback = new ArrayDeque<>();
    private List<Effect> ready = new ArrayList<>();
    /** Number of state changes so far. */
    private long changes;

    /** Number of state changes included in the newest {@link Effect.Persist}. */
    private long handedOut;

    /** Number of state changes that are persisted. */
    private long persisted;

    /** Number of messages dropped because the queue was full. */
    private long dropped;

    Outbox(Codec codec, List<String> peers, int selfIndex, boolean persistent) {
        this.codec = codec;
        this.peers = peers;
        this.selfIndex = selfIndex;
        this.persistent = persistent;
        this.maxQueued = 16 * peers.size() + 256;
    }

    /** Records a change of the state; messages sent after it depend on the changed state. */
    void stateChanged() {
        changes++;
        if (!persistent) {
            persisted = changes;
        }
    }

    /** Queues a message; drops the oldest one if the queue is full. */
    void send(int recipient, Message message) {
        if (queue.size() >= maxQueued) {
            queue.poll();
            dropped++;
        }
        queue.add(new QueuedMessage(recipient, message, changes));
    }

    /** Queues a message to all peers, including this one. */
    void broadcast(Message message) {
        for (int i = 0; i < peers.size(); i++) {
            send(i, message);
        }
    }

    void addEffect(Effect effect) {
        ready.add(effect);
    }

    /** Records that the state of a token, and all earlier ones, are persisted. */
    void persisted(long token) {
        persisted = Math.max(persisted, Math.min(token, handedOut));
    }

    /** Releases the messages whose state is persisted; true if there are looped-back messages to handle. */
    boolean release(AcceptorState state) {
        if (changes > handedOut && persistent) {
            ready.add(new Effect.Persist(changes, codec.write(state)));
            handedOut = changes;
        }
        QueuedMessage first;
        Message written = null;
        byte[] bytes = null;
        while ((first = queue.peek()) != null && first.requiredChange <= persisted) {
            queue.poll();
            if (first.recipient == selfIndex) {
                loopback.add(first.message);
            } else {
                if (first.message != written) {
                    written = first.message;
                    bytes = codec.write(written);
                }
                ready.add(new Effect.Send(peers.get(first.recipient), bytes));
            }
        }
        return !loopback.isEmpty();
    }

    /** Removes the oldest message to this peer itself; null if there is none. */
    Message loopback() {
        return loopback.poll();
    }

    /** Returns and removes the effects that are ready. */
    List<Effect> drain() {
        List<Effect> drained = ready;
        ready = new ArrayList<>();
        return drained;
    }

    long dropped() {
        return dropped;
    }
}
