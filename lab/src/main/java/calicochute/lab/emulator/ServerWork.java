package calicochute.lab.emulator;

import calicochute.lab.emulator.ServerJob.Held;
import calicochute.lab.referee.RuleChecker;
import calicochute.lab.scenario.Scenario.Tier;
import calicochute.lab.server.MachineSpec;
import calicochute.lab.server.ServerModel;
import calicochute.lab.server.ServerModel.Admission;
import calicochute.lab.socket.Connection;
import calicochute.lab.socket.HttpMessage;
import calicochute.lab.world.EventLoop;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;

/** A server's requests, from a connection through the machine's model (and the next tier) to their answers. */
final class ServerWork {
    private static final byte[] NONE = new byte[0];
    private final ServerHost server;
    private final Site site;
    private final MachineSpec spec;
    private final Tier tier;
    private final boolean callsOn;
    private final ServerModel model;
    private final UniformRandomProvider chance;
    private final LoadReports reports;
    private final Map<Long, ServerJob> jobs = new HashMap<>();
    private final List<Runnable> deferred = new ArrayList<>();
    /** Its way to the next tier; null in the last one, and while its balancer does not run. */
    private Caller next;

    private EventLoop.Timer wake;
    private long wakeAt = Long.MAX_VALUE;
    private long lastJob;
    private boolean paused;
    /** The parts of requests whose connections are reset, and of answers that are spoilt. */
    double resets;

    double spoilt;
    long dispatches;
    long turnedAway;
    /** Dispatches that came from another zone. */
    long crossings;
    /** How often it fell over while cold, whoever was to blame. */
    int falls;

    ServerWork(ServerHost server, Site site, ServerModel model, UniformRandomProvider chance) {
        this.server = server;
        this.site = site;
        this.model = model;
        this.chance = chance;
        spec = server.spec();
        tier = site.scenario.tiers().get(spec.tier());
        callsOn = spec.tier() + 1 < site.scenario.tiers().size();
        reports = new LoadReports(spec, chance);
    }

    void callsThrough(Caller caller) {
        next = caller;
    }

    void report() {
        reports.take(site.eventLoop.now(), model.load());
    }

    boolean paused() {
        return paused;
    }

    /** The process has died: what it held is gone. */
    void clear(long now) {
        jobs.clear();
        deferred.clear();
        paused = false;
        model.setPaused(now, false);
        model.start(now);
        schedule();
    }

    void pause(boolean on) {
        pump();
        paused = on;
        model.setPaused(site.eventLoop.now(), on);
        if (!on) {
            List<Runnable> waiting = List.copyOf(deferred);
            deferred.clear();
            waiting.forEach(Runnable::run);
        }
        schedule();
    }

    void arrived(ServerDoor door, Connection connection, HttpMessage message) {
        Held held = (Held) connection.attachment;
        if (held.dead) {
            return;
        }
        String path = message.target();
        if (path.equals("/health") || path.equals("/status/load")) {
            site.eventLoop.scheduleAfter(door.delay, () -> whenAwake(() -> probed(door, connection)));
            return;
        }
        String id = message.field("x-txn");
        RuleChecker.Dispatch dispatch =
                site.ruleChecker.dispatchReceived(message.firstByteAt(), message.lastByteAt(), id, spec.id());
        dispatches++;
        crossings += door.zone.equals(spec.zone()) ? 0 : 1;
        Request request = id == null ? null : site.requests.get(id);
        if (request == null || request.tier() != spec.tier()) {
            connection.write(HttpMessage.response(id == null ? 404 : 400, "", NONE));
            return;
        }
        request.root().dispatches[spec.tier()]++;
        site.sent(message.lastByteAt(), request, spec.index(), site.ruleChecker.dispatches(id) == 1);
        ServerJob job = new ServerJob(++lastJob, connection, request, dispatch);
        held.job = job;
        // A fresh connection's handshake takes round trips before its first request counts.
        long handshake = held.fresh ? 4 * door.delay : 0;
        boolean fresh = held.fresh;
        held.fresh = false;
        site.eventLoop.scheduleAfter(door.delay + handshake, () -> whenAwake(() -> begin(job, door, fresh)));
    }

    private void whenAwake(Runnable task) {
        if (paused) {
            deferred.add(task);
        } else if (server.up()) {
            task.run();
        }
    }

    private void begin(ServerJob job, ServerDoor door, boolean fresh) {
        Held held = (Held) job.connection.attachment;
        if (held.dead || !job.connection.isOpen()) {
            return;
        }
        if (resets > 0 && chance.nextDouble() < resets) {
            site.ruleChecker.dispatchEnded(site.eventLoop.now(), job.dispatch);
            job.connection.reset();
            door.connections.remove(job.connection);
            server.openConnections.decrementAndGet();
            return;
        }
        pump();
        long now = site.eventLoop.now();
        Root root = job.request.root();
        job.own = root.arrival.work() * tier.work();
        job.callsLeft = callsOn ? root.arrival.calls().get(spec.tier()) : 0;
        job.rest = job.callsLeft > 0 ? job.own / 2 : 0;
        double extra = fresh ? tier.kinds().get(0).handshake().micros() : 0;
        Admission admission = model.submit(
                now,
                job.id,
                job.own - job.rest,
                job.own,
                extra,
                server.informed(job.request.balancer().name()));
        switch (admission) {
            case ACCEPTED -> jobs.put(job.id, job);
            case REJECTED -> {
                turnedAway++;
                answer(job, door, 503);
            }
            case IGNORED -> {
                // Nothing more is heard of it.
            }
            case COLLAPSED -> {
                falls++;
                site.ruleChecker.coldServerCollapsed(now, spec.id(), model.informedShare());
                server.crash();
            }
        }
        schedule();
    }

    private void probed(ServerDoor door, Connection connection) {
        if (!connection.isOpen() || connection.attachment instanceof Held held && held.dead) {
            return;
        }
        pump();
        model.runOutsideSlots(
                site.eventLoop.now(), -(++lastJob), spec.kind().probeWork().micros());
        schedule();
        byte[] answer =
                HttpMessage.response(200, "", reports.text(site.eventLoop.now()).getBytes(StandardCharsets.US_ASCII));
        site.eventLoop.scheduleAfter(door.delay, () -> connection.write(answer));
    }

    /** Lets the model catch up, and carries on what has ended there. */
    void pump() {
        for (long id : model.advance(site.eventLoop.now())) {
            ServerJob job = jobs.get(id);
            if (job != null) {
                pieceDone(job);
            }
        }
    }

    void schedule() {
        long at = model.nextEventTime(site.eventLoop.now());
        if (at == wakeAt) {
            return;
        }
        if (wake != null) {
            wake.cancel();
        }
        wakeAt = at;
        wake = at == Long.MAX_VALUE
                ? null
                : site.eventLoop.scheduleAt(at, () -> {
                    wakeAt = Long.MAX_VALUE;
                    pump();
                    schedule();
                });
    }

    private void pieceDone(ServerJob job) {
        Root root = job.request.root();
        double piece = job.own - job.rest;
        root.workDone += piece;
        if (job.callsLeft > 0) {
            callOn(job);
            return;
        }
        boolean broken =
                spec.kind().errors() > 0 && chance.nextDouble() < spec.kind().errors();
        end(job, broken ? 500 : 200);
    }

    /** One call after another to the next tier, then the rest of the work. */
    private void callOn(ServerJob job) {
        if (next == null || site.closing) {
            end(job, 500);
            return;
        }
        Root root = job.request.root();
        Request call = site.request(root, spec.tier() + 1, next.balancer());
        String key = ClientHost.key(site, root);
        next.ask(call, key, false, site.classOf(root).giveUp().micros(), result -> {
            if (jobs.get(job.id) != job) {
                return;
            }
            if (!result.served()) {
                end(job, 500);
            } else if (--job.callsLeft > 0) {
                callOn(job);
            } else {
                double rest = job.rest;
                job.rest = 0;
                job.own = rest;
                pump();
                model.resume(site.eventLoop.now(), job.id, rest);
                schedule();
            }
        });
    }

    private void end(ServerJob job, int status) {
        jobs.remove(job.id);
        model.release(site.eventLoop.now(), job.id);
        schedule();
        answer(job, server.door(job.request.balancer().zone()), status);
    }

    private void answer(ServerJob job, ServerDoor door, int status) {
        site.eventLoop.scheduleAfter(door.delay, () -> {
            Held held = (Held) job.connection.attachment;
            if (!job.connection.isOpen() || held.dead || held.job != job || !server.up()) {
                return;
            }
            held.job = null;
            held.idleSince = site.eventLoop.now();
            if (status == 503) {
                site.ruleChecker.dispatchNotRun(site.eventLoop.now(), job.dispatch);
                job.connection.write(HttpMessage.response(503, "X-Turned-Away: 1\r\n", NONE));
            } else if (spoilt > 0 && chance.nextDouble() < spoilt) {
                Spoilt.values()[chance.nextInt(Spoilt.values().length)].write(
                        job.connection, status, RuleChecker.responseToken(job.dispatch));
                site.ruleChecker.dispatchEnded(site.eventLoop.now(), job.dispatch);
            } else {
                site.ruleChecker.dispatchEnded(site.eventLoop.now(), job.dispatch);
                job.connection.write(HttpMessage.response(
                        status,
                        "",
                        status != 200
                                ? NONE
                                : RuleChecker.responseToken(job.dispatch).getBytes(StandardCharsets.US_ASCII)));
            }
        });
    }

    void gaveUp(Connection connection) {
        if (connection.attachment instanceof Held held && held.job != null) {
            ServerJob job = held.job;
            held.job = null;
            site.ruleChecker.dispatchEnded(site.eventLoop.now(), job.dispatch);
            pump();
            if (model.cancelQueued(site.eventLoop.now(), job.id)) {
                jobs.remove(job.id);
            }
            schedule();
        }
    }
}
