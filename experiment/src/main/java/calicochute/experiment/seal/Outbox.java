package calicochute.experiment.seal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * Messages on their way out. One that rests on a memory not kept yet waits until it is; one to this peer comes back in.
 */
final class Outbox {
    private record Held(int to, Message message, long needs) {}

    private final Codec codec;
    private final List<String> peers;
    private final int me;
    private final boolean remembers;
    private final int most;
    private final ArrayDeque<Held> held = new ArrayDeque<>();
    private final ArrayDeque<Message> own = new ArrayDeque<>();
    private List<Effect> ready = new ArrayList<>();
    /** How often the memory changed, up to which change it was handed out and kept. */
    private long changes;

    private long handed;
    private long kept;
    private long dropped;

    Outbox(Codec codec, List<String> peers, int me, boolean remembers) {
        this.codec = codec;
        this.peers = peers;
        this.me = me;
        this.remembers = remembers;
        this.most = 16 * peers.size() + 256;
    }

    void changed() {
        changes++;
        if (!remembers) {
            kept = changes;
        }
    }

    void send(int to, Message message) {
        if (held.size() >= most) {
            held.poll();
            dropped++;
        }
        held.add(new Held(to, message, changes));
    }

    void all(Message message) {
        for (int i = 0; i < peers.size(); i++) {
            send(i, message);
        }
    }

    void tell(Effect effect) {
        ready.add(effect);
    }

    void kept(long token) {
        kept = Math.max(kept, Math.min(token, handed));
    }

    /** What may leave, leaves; true if a message to this peer is there now. */
    boolean release(Memory memory) {
        if (changes > handed && remembers) {
            ready.add(new Effect.Persist(changes, codec.write(memory)));
            handed = changes;
        }
        Held first;
        Message written = null;
        byte[] bytes = null;
        while ((first = held.peek()) != null && first.needs <= kept) {
            held.poll();
            if (first.to == me) {
                own.add(first.message);
            } else {
                if (first.message != written) {
                    written = first.message;
                    bytes = codec.write(written);
                }
                ready.add(new Effect.Send(peers.get(first.to), bytes));
            }
        }
        return !own.isEmpty();
    }

    Message own() {
        return own.poll();
    }

    List<Effect> drain() {
        List<Effect> out = ready;
        ready = new ArrayList<>();
        return out;
    }

    long dropped() {
        return dropped;
    }
}
