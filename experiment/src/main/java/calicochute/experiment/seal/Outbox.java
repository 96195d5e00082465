package calicochute.experiment.seal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Messages on their way out. One that rests on a memory not kept yet waits until it is; one to this peer comes back in.
 */
final class Outbox {
    private record QueuedMessage(int recipient, Message message, long requiredChange) {}

    private final Codec codec;
    private final List<String> peers;
    private final int selfIndex;
    private final boolean persistent;
    private final int maxQueued;
    private final ArrayDeque<QueuedMessage> queue = new ArrayDeque<>();
    private final ArrayDeque<Message> loopback = new ArrayDeque<>();
    private List<Effect> ready = new ArrayList<>();
    /** How often the memory changed, up to which change it was handed out and kept. */
    private long changes;

    private long handedOut;
    private long persisted;
    private long dropped;

    Outbox(Codec codec, List<String> peers, int selfIndex, boolean persistent) {
        this.codec = codec;
        this.peers = peers;
        this.selfIndex = selfIndex;
        this.persistent = persistent;
        this.maxQueued = 16 * peers.size() + 256;
    }

    void stateChanged() {
        changes++;
        if (!persistent) {
            persisted = changes;
        }
    }

    void send(int recipient, Message message) {
        if (queue.size() >= maxQueued) {
            queue.poll();
            dropped++;
        }
        queue.add(new QueuedMessage(recipient, message, changes));
    }

    void broadcast(Message message) {
        for (int i = 0; i < peers.size(); i++) {
            send(i, message);
        }
    }

    void addEffect(Effect effect) {
        ready.add(effect);
    }

    void persisted(long token) {
        persisted = Math.max(persisted, Math.min(token, handedOut));
    }

    /** What may leave, leaves; true if a message to this peer is there now. */
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

    Message loopback() {
        return loopback.poll();
    }

    List<Effect> drain() {
        List<Effect> drained = ready;
        ready = new ArrayList<>();
        return drained;
    }

    long dropped() {
        return dropped;
    }
}
