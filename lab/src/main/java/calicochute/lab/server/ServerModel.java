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
 * The machine of a backend server, without sockets. It has slots, a queue, and cores that running jobs share evenly.
 * This is processor sharing, computed in virtual time: all running jobs progress at one rate, so the next job to finish
 * is the one with the least virtual end. Efficiency falls when the machine holds many jobs; it can also be cold,
 * slowed, paused or hung. Times and work are in microseconds; callers pass the time, which never goes back.
 */
public final class ServerModel {
    /** How often the model is recomputed while its capacity changes without an event, in microseconds. */
    private static final long CHANGING_CAPACITY_STEP_MICROS = 50_000;

    /** A job with less work left than this has finished. */
    private static final double WORK_EPSILON_MICROS = 1e-6;

    private final MachineSpec spec;
    private final Kind kind;
    private final UniformRandomProvider noise;
    private final SluggishState sluggishState;
    private final ColdStartBudget coldStartBudget;
    private final Map<Long, Job> jobs = new HashMap<>();
    private final PriorityQueue<Job> runningJobs = new PriorityQueue<>();
    private final Deque<Job> queuedJobs = new ArrayDeque<>();
    private long updatedAt;
    private double virtualTime;
    private int busySlots;
    private long startedAt;
    private boolean cold;
    private double workSinceStart;
    private double slowdown = 1;
    private boolean paused;
    private boolean hung;
    private boolean draining;
    private long acceptedCount;

    private static final class Job implements Comparable<Job> {
        final long id;
        double work;
        double virtualEnd;
        boolean running;
        boolean queued;

        Job(long id, double work) {
            this.id = id;
            this.work = work;
        }

        @Override
        public int compareTo(Job other) {
            int byEnd = Double.compare(virtualEnd, other.virtualEnd);
            return byEnd != 0 ? byEnd : Long.compare(id, other.id);
        }
    }

    /** What the machine does with a submitted job. */
    public enum Admission {
        /** The job runs or is queued. */
        ACCEPTED,
        /** The machine is full or draining; the job has not run. */
        REJECTED,
        /** The machine hangs: there will be no response. */
        IGNORED,
        /** The job exceeded the cold start budget, and the machine has collapsed. */
        COLLAPSED
    }

    /** The machine's load: jobs running or queued, and the number of jobs accepted so far. */
    public record Load(int inflight, long accepted) {}

    /**
     * @param collapseMultiple the multiple of its capacity under which the machine collapses while cold
     * @param collapseSpan the time over which that work is counted, in microseconds
     * @param meanWork the mean work of a request at this machine, in microseconds
     */
    public ServerModel(
            MachineSpec spec,
            UniformRandomProvider noise,
            double collapseMultiple,
            long collapseSpan,
            double meanWork,
            long now) {
        this.spec = spec;
        kind = spec.kind();
        this.noise = noise;
        sluggishState = new SluggishState(kind.sluggish());
        coldStartBudget = new ColdStartBudget(collapseMultiple, collapseSpan, meanWork);
        updatedAt = now;
    }

    /** Starts the machine again, empty and cold. */
    public void start(long now) {
        jobs.clear();
        runningJobs.clear();
        queuedJobs.clear();
        busySlots = 0;
        virtualTime = 0;
        updatedAt = now;
        startedAt = now;
        cold = true;
        workSinceStart = 0;
        draining = false;
        coldStartBudget.clear();
    }

    /**
     * Submits a job. {@code work} is that of its first part, {@code totalWork} that of all parts, and {@code extra}
     * that of the connection's handshake, if any. {@code senderInformed} says whether the sender had been told of the
     * last start.
     */
    public Admission submit(long now, long id, double work, double totalWork, double extra, boolean senderInformed) {
        updateTo(now);
        if (cold && coldStartBudget.add(now, totalWork + extra, senderInformed, capacity(now))) {
            return Admission.COLLAPSED;
        }
        if (hung) {
            return Admission.IGNORED;
        }
        Job job = new Job(id, work * drawNoise() + extra);
        if (draining || busySlots >= spec.slots() && queuedJobs.size() >= spec.queue()) {
            // The handshake costs its work even if the request is rejected.
            if (extra > 0) {
                runOutsideSlots(now, -1 - id, extra);
            }
            return Admission.REJECTED;
        }
        jobs.put(id, job);
        acceptedCount++;
        if (busySlots < spec.slots()) {
            busySlots++;
            run(job);
        } else {
            job.queued = true;
            queuedJobs.add(job);
        }
        return Admission.ACCEPTED;
    }

    /** Runs work that needs no slot, such as that of a probe; its id has to be negative. */
    public void runOutsideSlots(long now, long id, double work) {
        updateTo(now);
        Job job = new Job(id, work);
        jobs.put(id, job);
        run(job);
    }

    private double drawNoise() {
        return kind.noise() <= 0 ? 1 : RandomStreams.lognormal(noise, 1, kind.noise());
    }

    private void run(Job job) {
        job.running = true;
        job.virtualEnd = virtualTime + job.work;
        runningJobs.add(job);
    }

    /** Runs the next part of a job that has kept its slot since its last part ended. */
    public void resume(long now, long id, double work) {
        updateTo(now);
        Job job = jobs.get(id);
        if (job != null && !job.running && !job.queued) {
            job.work = work;
            run(job);
        }
    }

    /** Ends a job; its slot goes to the first job in the queue. */
    public void release(long now, long id) {
        updateTo(now);
        Job job = jobs.remove(id);
        if (job == null) {
            return;
        }
        if (job.queued) {
            queuedJobs.remove(job);
            return;
        }
        runningJobs.remove(job);
        if (id < 0) {
            return;
        }
        busySlots--;
        Job next = queuedJobs.poll();
        if (next != null) {
            next.queued = false;
            busySlots++;
            run(next);
        }
    }

    /** Removes a job that has not begun, since its caller has given up; false if it has begun or is not known. */
    public boolean cancelQueued(long now, long id) {
        Job job = jobs.get(id);
        if (job != null && job.queued) {
            release(now, id);
            return true;
        }
        return false;
    }

    /** Advances the model to a time and returns the jobs whose current part has ended since, in that order. */
    public List<Long> advance(long now) {
        updateTo(now);
        List<Long> ended = new ArrayList<>();
        while (!runningJobs.isEmpty() && runningJobs.peek().virtualEnd <= virtualTime + WORK_EPSILON_MICROS) {
            Job job = runningJobs.poll();
            job.running = false;
            if (job.id < 0) {
                jobs.remove(job.id);
            }
            ended.add(job.id);
        }
        return ended;
    }

    /** When {@link #advance} is to be called next; {@link Long#MAX_VALUE} if nothing will happen without an event. */
    public long nextEventTime(long now) {
        long soonest = Long.MAX_VALUE;
        double rate = rate(now);
        if (!runningJobs.isEmpty() && rate > 0) {
            double left = Math.max(0, runningJobs.peek().virtualEnd - virtualTime);
            soonest = now + (long) Math.ceil(left / rate);
        }
        if ((cold || kind.sluggish() != null) && !jobs.isEmpty()) {
            soonest = Math.min(soonest, now + CHANGING_CAPACITY_STEP_MICROS);
        }
        return soonest;
    }

    private void updateTo(long now) {
        if (now > updatedAt) {
            double gained = rate(updatedAt) * (now - updatedAt);
            int active = runningJobs.size();
            // Ended jobs keep running until advance() removes them; the error is below one step of the caller's timer.
            virtualTime += gained;
            workSinceStart += gained * active;
            updatedAt = now;
        }
        sluggishState.update(now, (double) waitingJobs() / kind.cores(), (double) runningJobs.size() / kind.cores());
        if (cold && capacityShare(now) >= 1) {
            cold = false;
            coldStartBudget.clear();
        }
    }

    private int waitingJobs() {
        return queuedJobs.size() + Math.max(0, runningJobs.size() - kind.cores());
    }

    /** Work that each running job progresses by in a microsecond. */
    private double rate(long now) {
        int active = runningJobs.size();
        if (paused || hung || active == 0) {
            return 0;
        }
        double jobsPerCore = (double) (busySlots + queuedJobs.size()) / kind.cores();
        double efficiency = 1 / (1 + kind.crowding() * Math.max(0, jobsPerCore - kind.crowdedAt()));
        return spec.speed()
                * Math.min(1, (double) kind.cores() / active)
                * efficiency
                * capacityShare(now)
                / slowdown
                / sluggishState.slowdown();
    }

    /** The share of its capacity that the machine has now: below 1 while it is cold. */
    public double capacityShare(long now) {
        if (!cold) {
            return 1;
        }
        double warmByTime = (double) (now - startedAt) / kind.warmTime().micros();
        double warmByWork = kind.warmByWork()
                ? workSinceStart / (0.5 * spec.capacity() * kind.warmTime().micros())
                : 0;
        return Math.min(1, kind.coldShare() + (1 - kind.coldShare()) * Math.max(warmByTime, warmByWork));
    }

    /** Microseconds of work that the machine can do per microsecond now. */
    public double capacity(long now) {
        return spec.capacity() * capacityShare(now) / slowdown / sluggishState.slowdown();
    }

    /** Makes the machine slower by a factor; 1 for its usual speed. */
    public void setSlowdown(long now, double factor) {
        updateTo(now);
        slowdown = factor;
    }

    /** Pauses the machine or lets it continue: while paused no job progresses. */
    public void setPaused(long now, boolean paused) {
        updateTo(now);
        this.paused = paused;
    }

    /** Makes the machine hang or recover: while hung it progresses no job and answers none that is submitted. */
    public void setHung(long now, boolean hung) {
        updateTo(now);
        this.hung = hung;
    }

    /** While draining the machine rejects all jobs submitted. */
    public void setDraining(boolean draining) {
        this.draining = draining;
    }

    public boolean isSluggish() {
        return sluggishState.isSluggish();
    }

    /** The share of the recent work that came from balancers that had been told of the last start. */
    public double informedShare() {
        return coldStartBudget.informedShare();
    }

    public ColdStartBudget coldStartBudget() {
        return coldStartBudget;
    }

    public int busySlots() {
        return busySlots;
    }

    public int queueLength() {
        return queuedJobs.size();
    }

    public Load load() {
        return new Load(busySlots + queuedJobs.size(), acceptedCount);
    }
}
