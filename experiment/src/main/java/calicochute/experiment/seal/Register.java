package calicochute.experiment.seal;

import calicochute.experiment.seal.Message.*;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeSet;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * A sequence of values, each decided once by a majority of the configured peers; one of them. The value of a slot stands for all before it, so that a peer
 * needs the newest only and may jump over others. No I/O, one thread; times in microseconds. After each call the host takes {@link #effects}. What holds and
 * why: see the package.
 */
public final class Register {
  public static final int MOST_VALUE = Codec.MOST_VALUE;
  public static final int MOST_PEERS = 400;
  private static final int TOLD = 2;
  private final Codec codec;
  private final List<String> peers;
  private final int me;
  private final long life;
  private final Timing timing;
  private final Outbox out;
  private final Proposer proposer;
  private final Comeback comeback;
  private final Map<Refusal, Long> refusals = new EnumMap<>(Refusal.class);
  private Memory memory = Memory.BLANK;
  private long now;
  private long nextTelling;
  private long wantedAt = Long.MIN_VALUE;
  private int told;

  /**
   * @param definition hash of what the experiment is: one that was changed is another register
   * @param configured ids of all peers, by the operator's file; must be the same everywhere
   * @param start when this process began (microseconds); no two starts of a peer may be the same, and the process before must have ended
   * @param remembers the host keeps the state; false: it is gone with the process
   * @param state as last kept, null if there is none; one that cannot be read is refused, counted, and as none
   */
  public Register(String name, long definition, List<String> configured, String me, long start, boolean remembers, byte[] state, Timing timing) {
    SortedSet<String> sorted = new TreeSet<>(configured);
    if (sorted.isEmpty() || sorted.size() > MOST_PEERS || sorted.size() != configured.size()) throw new IllegalArgumentException("1 to 400 different peers");
    this.peers = List.copyOf(sorted);
    this.me = peers.indexOf(me);
    if (this.me < 0) throw new IllegalArgumentException("not a peer: " + me);
    if (start <= 0) throw new IllegalArgumentException("start " + start);
    this.life = start;
    this.now = start;
    this.timing = timing;
    this.codec = new Codec(name, definition, peers);
    this.out = new Outbox(codec, peers, this.me, remembers);
    this.proposer = new Proposer(this, out, timing, peers.size(), this.me, start);
    this.comeback = new Comeback(this, out, timing, peers.size(), this.me, start);
    if (state != null) restore(state);
  }

  private void restore(byte[] state) {
    try {
      memory = codec.memory(state);
    } catch (Malformed e) {
      refused(e.refusal);
    }
  }

  /** What this peer would put into the slot after {@code after}; may be said again. False if that is not the newest place, or too long. */
  public boolean propose(long time, Place after, byte[] next) {
    now = time;
    if (!after.equals(memory.place()) || after.equals(Place.NONE) || next.length > MOST_VALUE) return false;
    proposer.propose(time, next);
    return true;
  }

  /** This peer's turn to propose, among the live: 0 at once, the others each a while later if nothing is decided. */
  public void turn(int rank) {
    proposer.turn(rank);
    comeback.turn(rank);
  }

  /** Every 50 to 250 ms. */
  public void tick(long time) {
    now = time;
    proposer.tick(time);
    comeback.tick(time);
    if (time < nextTelling) return;
    nextTelling = time + timing.spread();
    for (int i = 0; i < TOLD && peers.size() > 1; i++) {
      int other = Math.floorMod(me + 1 + Math.floorMod(MurmurHash3.hash32(life + me, told++), peers.size() - 1), peers.size());
      out.send(other, new Known(memory.place(), Ballot.NONE));
    }
  }

  /** A message from a peer. One that is none of this register is counted. */
  public void received(long time, String from, byte[] message) {
    now = time;
    int by = peers.indexOf(from);
    if (by < 0) {
      refused(Refusal.SENDER);
      return;
    }
    try {
      handle(time, by, codec.read(message));
    } catch (Malformed e) {
      refused(e.refusal);
    }
  }

  /** The host has kept the state of this token, and so all before it. */
  public void persisted(long token) {
    out.kept(token);
  }

  /** To be done in this order; call again after {@link #persisted}. */
  public List<Effect> effects() {
    while (out.release(memory)) {
      Message own;
      while ((own = out.own()) != null) handle(now, me, own);
    }
    return out.drain();
  }

  /** Newest decided slot known. */
  public Place place() {
    return memory.place();
  }

  public long slot() {
    return memory.place().slot();
  }

  /** Its value; empty in slot 0. */
  public byte[] value() {
    return memory.value().clone();
  }

  /** False while this peer abstains because it has, or may have, forgotten its votes. */
  public boolean votes() {
    return memory.voter();
  }

  /** What was not taken, by cause. */
  public Map<Refusal, Long> refusals() {
    Map<Refusal, Long> all = new EnumMap<>(refusals);
    if (out.dropped() > 0) all.put(Refusal.WAITING, out.dropped());
    return all;
  }

  private void refused(Refusal refusal) {
    refusals.merge(refusal, 1L, Long::sum);
  }

  Memory memory() {
    return memory;
  }

  private void change(Memory next) {
    if (next == memory) return;
    assert next.sound() : next;
    memory = next;
    out.changed();
  }

  private void handle(long time, int by, Message message) {
    if (message instanceof Ask m) comeback.asked(time, by, m);
    else if (message instanceof Answer m) {
      change(memory.see(m.seen()));
      comeback.answered(time, by, m);
    } else if (message instanceof Form m) comeback.asksToForm(time, by, m);
    else if (message instanceof Commit m) comeback.commits(time, by, m);
    else if (message instanceof Prepare m) prepare(time, by, m);
    else if (message instanceof Promise m) proposer.promised(time, by, m);
    else if (message instanceof Accept m) accept(time, by, m);
    else if (message instanceof Accepted m) proposer.accepted(time, by, m);
    else if (message instanceof Refused m) proposer.refused(time, m);
    else if (message instanceof Known m) known(time, by, m);
    else if (message instanceof Want m) {
      change(memory.see(m.place().epoch()));
      if (memory.place().compareTo(m.place()) > 0) out.send(by, new Value(memory.place(), memory.value()));
    } else if (message instanceof Value m) learn(time, m.place(), m.value());
  }

  /** True if this peer may vote on the place now: a voter that knows the value of the slot before. So that value cannot be lost with the proposer. */
  private boolean open(long time, int by, Place place) {
    change(memory.see(place.epoch()));
    if (memory.place().compareTo(place) >= 0) {
      out.send(by, new Known(memory.place(), Ballot.NONE));
      return false;
    }
    if (!place.epoch().equals(memory.seen())) return false;
    boolean next = memory.place().next().equals(place);
    if (!next) want(time, by);
    return next && memory.voter() && !comeback.held(time);
  }

  private void prepare(long time, int by, Prepare m) {
    if (!open(time, by, m.place())) return;
    if (m.ballot().compareTo(memory.promised()) < 0) {
      out.send(by, new Refused(m.place(), m.ballot(), memory.promised()));
      return;
    }
    change(memory.promise(m.ballot()));
    out.send(by, new Promise(m.place(), m.ballot(), memory.accepted(), memory.acceptedValue()));
  }

  private void accept(long time, int by, Accept m) {
    if (!open(time, by, m.place())) return;
    if (m.ballot().compareTo(memory.promised()) < 0) {
      out.send(by, new Refused(m.place(), m.ballot(), memory.promised()));
      return;
    }
    change(memory.accept(m.ballot(), m.value()));
    out.send(by, new Accepted(m.place(), m.ballot()));
  }

  private void known(long time, int by, Known m) {
    change(memory.see(m.place().epoch()));
    int newer = m.place().compareTo(memory.place());
    if (newer < 0) out.send(by, new Known(memory.place(), Ballot.NONE));
    if (newer <= 0) return;
    boolean mine = memory.voter() && !m.ballot().equals(Ballot.NONE) && m.ballot().equals(memory.accepted());
    if (mine && m.place().equals(memory.place().next())) learn(time, m.place(), memory.acceptedValue());
    else want(time, by);
  }

  void want(long time, int by) {
    if (time < wantedAt + timing.retry() / 3 && time >= wantedAt) return;
    wantedAt = time;
    out.send(by, new Want(memory.place()));
  }

  void learn(long time, Place place, byte[] value) {
    Place before = memory.place();
    if (place.compareTo(before) <= 0) return;
    Memory next = memory.learn(place, value);
    if (place.epoch().compareTo(memory.seen()) >= 0 && !next.voter() && comeback.fresh(place.epoch())) {
      next = next.join();
      comeback.joined();
    }
    change(next);
    moved(time, before);
    comeback.read(time);
  }

  private void moved(long time, Place before) {
    proposer.moved(time);
    if (!before.epoch().equals(memory.place().epoch())) out.tell(new Effect.Begun(memory.place(), before));
    if (memory.place().slot() > 0) out.tell(new Effect.Decided(memory.place(), memory.value().clone()));
  }

  /** Votes again in the epoch seen, after the newest place known. */
  void join() {
    change(memory.join());
    comeback.joined();
  }

  /** Enough came along: the new epoch goes on after the newest place. */
  void begin(long time, Epoch epoch) {
    Place before = memory.place();
    Place base = new Place(epoch, before.slot());
    change(memory.learn(base, memory.value()).join());
    comeback.joined();
    moved(time, before);
    out.all(new Value(base, memory.value()));
  }
}
