package calicochute.lab.server;

import calicochute.lab.random.RandomStreams;
import calicochute.lab.scenario.Scenario.Kind;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * A backend server's machine without sockets: slots, a waiting room, cores shared evenly by what runs (processor
 * sharing in virtual time: all running jobs gain at one rate, so the next to end is the one with the least virtual time
 * left), loss when crowded, a cold start, slowdowns, pauses and hangs. Times and work in microseconds; time is an
 * argument and never goes back.
 */
public final class ServerModel {
    /** While capacity changes by itself the model looks again this often. */
    private static final long COLD_STEP = 50_000;

    private static final double DONE = 1e-6;
    private final MachineSpec spec;
    private final Kind kind;
    private final UniformRandomProvider noise;
    private final SluggishState sluggish;
    private final ColdBudget budget;
    private final Map<Long, Job> jobs = new HashMap<>();
    private final PriorityQueue<Job> running = new PriorityQueue<>();
    private final Deque<Job> waiting = new ArrayDeque<>();
    private long last;
    private double virtual;
    private int held;
    private long startedAt;
    private boolean cold;
    private double workDone;
    private double slower = 1;
    private boolean paused;
    private boolean hanging;
    private boolean draining;
    private long taken;

    private static final class Job implements Comparable<Job> {
        final long id;
        double work;
        double endsAt;
        boolean runs;
        boolean waits;

        Job(long id, double work) {
            this.id = id;
            this.work = work;
        }

        @Override
        public int compareTo(Job other) {
            int byEnd = Double.compare(endsAt, other.endsAt);
            return byEnd != 0 ? byEnd : Long.compare(id, other.id);
        }
    }

    /** What becomes of work that is offered. */
    public enum Admission {
        /** It runs or waits. */
        TAKEN,
        /** The machine is full or drains: it has not run. */
        TURNED_AWAY,
        /** Accepted by a machine that hangs: nothing more is heard of it. */
        SWALLOWED,
        /** It was too much for a cold machine, which has just fallen over. */
        FELL_OVER
    }

    /** The load that a machine would report of itself. */
    public record Load(int inflight, long taken) {}

    /** @param meanWork of a request at this machine, in microseconds */
    public ServerModel(
            MachineSpec spec,
            UniformRandomProvider noise,
            double fallMultiple,
            long fallSpan,
            double meanWork,
            long now) {
        this.spec = spec;
        kind = spec.kind();
        this.noise = noise;
        sluggish = new SluggishState(kind.sluggish());
        budget = new ColdBudget(fallMultiple, fallSpan, meanWork);
        last = now;
    }

    /** Starts anew: empty, and cold from now on. */
    public void start(long now) {
        jobs.clear();
        running.clear();
        waiting.clear();
        held = 0;
        virtual = 0;
        last = now;
        startedAt = now;
        cold = true;
        workDone = 0;
        draining = false;
        budget.clear();
    }

    /**
     * A job that has come, of {@code whole} work of which {@code work} is its first piece; {@code extra} is added for
     * what it came on (a handshake).
     */
    public Admission offer(long now, long id, double work, double whole, double extra, boolean fromInformed) {
        settle(now);
        if (cold && budget.add(now, whole + extra, fromInformed, capacity(now))) {
            return Admission.FELL_OVER;
        }
        if (hanging) {
            return Admission.SWALLOWED;
        }
        Job job = new Job(id, work * noise() + extra);
        if (draining || held >= spec.slots() && waiting.size() >= spec.queue()) {
            // The handshake has been done all the same.
            if (extra > 0) {
                burn(now, -1 - id, extra);
            }
            return Admission.TURNED_AWAY;
        }
        jobs.put(id, job);
        taken++;
        if (held < spec.slots()) {
            held++;
            run(job);
        } else {
            job.waits = true;
            waiting.add(job);
        }
        return Admission.TAKEN;
    }

    /** Work beside the slots, such as a probe's. */
    public void burn(long now, long id, double work) {
        settle(now);
        Job job = new Job(id, work);
        jobs.put(id, job);
        run(job);
    }

    private double noise() {
        return kind.noise() <= 0 ? 1 : RandomStreams.lognormal(noise, 1, kind.noise());
    }

    private void run(Job job) {
        job.runs = true;
        job.endsAt = virtual + job.work;
        running.add(job);
    }

    /** A further piece of a job whose last one has ended and that has kept its slot. */
    public void resume(long now, long id, double work) {
        settle(now);
        Job job = jobs.get(id);
        if (job != null && !job.runs && !job.waits) {
            job.work = work;
            run(job);
        }
    }

    /** The job is over: its slot goes to the next one that waits. */
    public void release(long now, long id) {
        settle(now);
        Job job = jobs.remove(id);
        if (job == null) {
            return;
        }
        if (job.waits) {
            waiting.remove(job);
            return;
        }
        running.remove(job);
        if (id < 0) {
            return;
        }
        held--;
        Job next = waiting.poll();
        if (next != null) {
            next.waits = false;
            held++;
            run(next);
        }
    }

    /** A job nobody waits for any more: dropped if it has not begun. True if it was. */
    public boolean withdraw(long now, long id) {
        Job job = jobs.get(id);
        if (job != null && job.waits) {
            release(now, id);
            return true;
        }
        return false;
    }

    /** Brings the model to a time, and says which jobs' pieces have ended since, in order. */
    public List<Long> advance(long now) {
        settle(now);
        List<Long> ended = new ArrayList<>();
        while (!running.isEmpty() && running.peek().endsAt <= virtual + DONE) {
            Job job = running.poll();
            job.runs = false;
            if (job.id < 0) {
                jobs.remove(job.id);
            }
            ended.add(job.id);
        }
        return ended;
    }

    /** When the model should be looked at again; {@link Long#MAX_VALUE} if nothing happens by itself. */
    public long next(long now) {
        long soonest = Long.MAX_VALUE;
        double rate = rate(now);
        if (!running.isEmpty() && rate > 0) {
            double left = Math.max(0, running.peek().endsAt - virtual);
            soonest = now + (long) Math.ceil(left / rate);
        }
        if ((cold || kind.sluggish() != null) && !jobs.isEmpty()) {
            soonest = Math.min(soonest, now + COLD_STEP);
        }
        return soonest;
    }

    private void settle(long now) {
        if (now > last) {
            double gained = rate(last) * (now - last);
            int active = running.size();
            // What has just ended stands still at its end; the error is below one step of the caller's timer.
            virtual += gained;
            workDone += gained * active;
            last = now;
        }
        sluggish.look(now, (double) waitingCount() / kind.cores(), (double) running.size() / kind.cores());
        if (cold && capacityShare(now) >= 1) {
            cold = false;
            budget.clear();
        }
    }

    private int waitingCount() {
        return waiting.size() + Math.max(0, running.size() - kind.cores());
    }

    /** Work that each running job gains in a microsecond. */
    private double rate(long now) {
        int active = running.size();
        if (paused || hanging || active == 0) {
            return 0;
        }
        double heldPerCore = (double) (held + waiting.size()) / kind.cores();
        double efficiency = 1 / (1 + kind.crowding() * Math.max(0, heldPerCore - kind.crowdedAt()));
        return spec.speed()
                * Math.min(1, (double) kind.cores() / active)
                * efficiency
                * capacityShare(now)
                / slower
                / sluggish.slower();
    }

    /** The part of its capacity that a machine has which may be cold. */
    public double capacityShare(long now) {
        if (!cold) {
            return 1;
        }
        double time = (double) (now - startedAt) / kind.warmTime().micros();
        double work = kind.warmByWork()
                ? workDone / (0.5 * spec.capacity() * kind.warmTime().micros())
                : 0;
        return Math.min(1, kind.coldShare() + (1 - kind.coldShare()) * Math.max(time, work));
    }

    /** Work in a microsecond that it can do now. */
    public double capacity(long now) {
        return spec.capacity() * capacityShare(now) / slower / sluggish.slower();
    }

    public void slow(long now, double factor) {
        settle(now);
        slower = factor;
    }

    public void pause(long now, boolean on) {
        settle(now);
        paused = on;
    }

    public void hang(long now, boolean on) {
        settle(now);
        hanging = on;
    }

    public void drain(boolean on) {
        draining = on;
    }

    public boolean sluggish() {
        return sluggish.sluggish();
    }

    public double informedShare() {
        return budget.informedShare();
    }

    public ColdBudget budget() {
        return budget;
    }

    public int inWork() {
        return held;
    }

    public int inQueue() {
        return waiting.size();
    }

    public Load load() {
        return new Load(held + waiting.size(), taken);
    }
}
