package calicochute.lab.emulator;

import calicochute.lab.emulator.ServerJob.ConnectionState;
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

/** Handles a server's requests: runs them on the machine's model, calls the next tier, and responds. */
final class ServerRequestHandler {
    private static final byte[] EMPTY_BODY = new byte[0];
    private final EmulatedServer server;
    private final EmulationContext context;
    private final MachineSpec spec;
    private final Tier tier;
    private final boolean hasNextTier;
    private final ServerModel model;
    private final UniformRandomProvider random;
    private final LoadReports reports;
    private final Map<Long, ServerJob> jobs = new HashMap<>();
    private final List<Runnable> deferred = new ArrayList<>();
    /** Sends calls to the next tier; null in the last tier, and while the server's balancer does not run. */
    private BalancerClient nextTierClient;

    private EventLoop.Timer advanceTimer;
    private long advanceAt = Long.MAX_VALUE;
    private long lastJobId;
    private boolean paused;
    /** The share of requests whose connections are reset. */
    double resetShare;

    /** The share of responses that are replaced by a {@link FaultyResponse}. */
    double faultyResponseShare;

    long dispatches;
    long rejected;
    /** Dispatches from another zone. */
    long crossZoneDispatches;
    /** How often the server collapsed while cold, whichever balancers had been told of its start. */
    int collapses;

    ServerRequestHandler(
            EmulatedServer server, EmulationContext context, ServerModel model, UniformRandomProvider random) {
        this.server = server;
        this.context = context;
        this.model = model;
        this.random = random;
        spec = server.spec();
        tier = context.scenario.tiers().get(spec.tier());
        hasNextTier = spec.tier() + 1 < context.scenario.tiers().size();
        reports = new LoadReports(spec, random);
    }

    void setNextTierClient(BalancerClient client) {
        nextTierClient = client;
    }

    /** Takes a new load report from the model. */
    void takeLoadReport() {
        reports.take(context.eventLoop.now(), model.load());
    }

    boolean paused() {
        return paused;
    }

    /** Discards all requests, since the server's process has ended. */
    void reset(long now) {
        jobs.clear();
        deferred.clear();
        paused = false;
        model.setPaused(now, false);
        model.start(now);
        scheduleAdvance();
    }

    void setPaused(boolean paused) {
        advanceModel();
        this.paused = paused;
        model.setPaused(context.eventLoop.now(), paused);
        if (!paused) {
            List<Runnable> resumed = List.copyOf(deferred);
            deferred.clear();
            resumed.forEach(Runnable::run);
        }
        scheduleAdvance();
    }

    void requestReceived(ServerEndpoint endpoint, Connection connection, HttpMessage message) {
        ConnectionState state = (ConnectionState) connection.attachment;
        if (state.unreachable) {
            return;
        }
        String path = message.target();
        if (path.equals("/health") || path.equals("/status/load")) {
            context.eventLoop.scheduleAfter(
                    endpoint.oneWayDelayMicros, () -> runOrDefer(() -> answerProbe(endpoint, connection)));
            return;
        }
        String id = message.field("x-txn");
        RuleChecker.Dispatch dispatch =
                context.ruleChecker.dispatchReceived(message.firstByteAt(), message.lastByteAt(), id, spec.id());
        dispatches++;
        crossZoneDispatches += endpoint.zone.equals(spec.zone()) ? 0 : 1;
        Request request = id == null ? null : context.requests.get(id);
        if (request == null || request.tier() != spec.tier()) {
            connection.write(HttpMessage.response(id == null ? 404 : 400, "", EMPTY_BODY));
            return;
        }
        request.clientRequest().dispatches[spec.tier()]++;
        context.recordDispatch(message.lastByteAt(), request, spec.index(), context.ruleChecker.dispatches(id) == 1);
        ServerJob job = new ServerJob(++lastJobId, connection, request, dispatch);
        state.job = job;
        // The handshake of a new connection takes two round trips before its first request starts.
        long handshakeMicros = state.fresh ? 4 * endpoint.oneWayDelayMicros : 0;
        boolean fresh = state.fresh;
        state.fresh = false;
        context.eventLoop.scheduleAfter(
                endpoint.oneWayDelayMicros + handshakeMicros, () -> runOrDefer(() -> startJob(job, endpoint, fresh)));
    }

    /** Runs a task at once, or when the server continues if it is paused; drops it if the process does not run. */
    private void runOrDefer(Runnable task) {
        if (paused) {
            deferred.add(task);
        } else if (server.up()) {
            task.run();
        }
    }

    private void startJob(ServerJob job, ServerEndpoint endpoint, boolean fresh) {
        ConnectionState state = (ConnectionState) job.connection.attachment;
        if (state.unreachable || !job.connection.isOpen()) {
            return;
        }
        if (resetShare > 0 && random.nextDouble() < resetShare) {
            context.ruleChecker.dispatchEnded(context.eventLoop.now(), job.dispatch);
            job.connection.reset();
            endpoint.connections.remove(job.connection);
            server.openConnections.decrementAndGet();
            return;
        }
        advanceModel();
        long now = context.eventLoop.now();
        ClientRequest clientRequest = job.request.clientRequest();
        job.remainingWork = clientRequest.arrival.workMicros() * tier.work();
        job.callsLeft = hasNextTier ? clientRequest.arrival.calls().get(spec.tier()) : 0;
        job.lastPartWork = job.callsLeft > 0 ? job.remainingWork / 2 : 0;
        double handshakeWork = fresh ? tier.kinds().get(0).handshake().micros() : 0;
        Admission admission = model.submit(
                now,
                job.id,
                job.remainingWork - job.lastPartWork,
                job.remainingWork,
                handshakeWork,
                server.isInformed(job.request.balancer().name()));
        switch (admission) {
            case ACCEPTED -> jobs.put(job.id, job);
            case REJECTED -> {
                rejected++;
                respond(job, endpoint, 503);
            }
            case IGNORED -> {
                // A hung machine sends no response.
            }
            case COLLAPSED -> {
                collapses++;
                context.ruleChecker.coldServerCollapsed(now, spec.id(), model.informedShare());
                server.crash();
            }
        }
        scheduleAdvance();
    }

    private void answerProbe(ServerEndpoint endpoint, Connection connection) {
        if (!connection.isOpen() || connection.attachment instanceof ConnectionState state && state.unreachable) {
            return;
        }
        advanceModel();
        model.runOutsideSlots(
                context.eventLoop.now(), -(++lastJobId), spec.kind().probeWork().micros());
        scheduleAdvance();
        byte[] response = HttpMessage.response(
                200, "", reports.text(context.eventLoop.now()).getBytes(StandardCharsets.US_ASCII));
        context.eventLoop.scheduleAfter(endpoint.oneWayDelayMicros, () -> connection.write(response));
    }

    /** Advances the model to the present, and continues the requests whose current part has ended. */
    void advanceModel() {
        for (long id : model.advance(context.eventLoop.now())) {
            ServerJob job = jobs.get(id);
            if (job != null) {
                partEnded(job);
            }
        }
    }

    /** Sets the timer for the model's next event. */
    void scheduleAdvance() {
        long at = model.nextEventTime(context.eventLoop.now());
        if (at == advanceAt) {
            return;
        }
        if (advanceTimer != null) {
            advanceTimer.cancel();
        }
        advanceAt = at;
        advanceTimer = at == Long.MAX_VALUE
                ? null
                : context.eventLoop.scheduleAt(at, () -> {
                    advanceAt = Long.MAX_VALUE;
                    advanceModel();
                    scheduleAdvance();
                });
    }

    private void partEnded(ServerJob job) {
        ClientRequest clientRequest = job.request.clientRequest();
        double partWork = job.remainingWork - job.lastPartWork;
        clientRequest.workDone += partWork;
        if (job.callsLeft > 0) {
            callNextTier(job);
            return;
        }
        boolean internalError =
                spec.kind().errors() > 0 && random.nextDouble() < spec.kind().errors();
        endJob(job, internalError ? 500 : 200);
    }

    /** Calls the next tier, one call after another, and then runs the last part of the work. */
    private void callNextTier(ServerJob job) {
        if (nextTierClient == null || context.closing) {
            endJob(job, 500);
            return;
        }
        ClientRequest clientRequest = job.request.clientRequest();
        Request call = context.registerRequest(clientRequest, spec.tier() + 1, nextTierClient.balancer());
        String key = EmulatedClients.idempotencyKey(context, clientRequest);
        nextTierClient.send(
                call, key, false, context.requestClass(clientRequest).giveUp().micros(), result -> {
                    if (jobs.get(job.id) != job) {
                        return;
                    }
                    if (!result.served()) {
                        endJob(job, 500);
                    } else if (--job.callsLeft > 0) {
                        callNextTier(job);
                    } else {
                        double lastPartWork = job.lastPartWork;
                        job.lastPartWork = 0;
                        job.remainingWork = lastPartWork;
                        advanceModel();
                        model.resume(context.eventLoop.now(), job.id, lastPartWork);
                        scheduleAdvance();
                    }
                });
    }

    private void endJob(ServerJob job, int status) {
        jobs.remove(job.id);
        model.release(context.eventLoop.now(), job.id);
        scheduleAdvance();
        respond(job, server.endpoint(job.request.balancer().zone()), status);
    }

    private void respond(ServerJob job, ServerEndpoint endpoint, int status) {
        context.eventLoop.scheduleAfter(endpoint.oneWayDelayMicros, () -> {
            ConnectionState state = (ConnectionState) job.connection.attachment;
            if (!job.connection.isOpen() || state.unreachable || state.job != job || !server.up()) {
                return;
            }
            state.job = null;
            state.idleSince = context.eventLoop.now();
            if (status == 503) {
                context.ruleChecker.dispatchNotRun(context.eventLoop.now(), job.dispatch);
                job.connection.write(HttpMessage.response(503, "X-Turned-Away: 1\r\n", EMPTY_BODY));
            } else if (faultyResponseShare > 0 && random.nextDouble() < faultyResponseShare) {
                FaultyResponse.values()[random.nextInt(FaultyResponse.values().length)].write(
                        job.connection, status, RuleChecker.responseToken(job.dispatch));
                context.ruleChecker.dispatchEnded(context.eventLoop.now(), job.dispatch);
            } else {
                context.ruleChecker.dispatchEnded(context.eventLoop.now(), job.dispatch);
                job.connection.write(HttpMessage.response(
                        status,
                        "",
                        status != 200
                                ? EMPTY_BODY
                                : RuleChecker.responseToken(job.dispatch).getBytes(StandardCharsets.US_ASCII)));
            }
        });
    }

    /** Ends the dispatch on a connection that the caller has closed; a request that has begun runs on. */
    void callerDisconnected(Connection connection) {
        if (connection.attachment instanceof ConnectionState state && state.job != null) {
            ServerJob job = state.job;
            state.job = null;
            context.ruleChecker.dispatchEnded(context.eventLoop.now(), job.dispatch);
            advanceModel();
            if (model.cancelQueued(context.eventLoop.now(), job.id)) {
                jobs.remove(job.id);
            }
            scheduleAdvance();
        }
    }
}
