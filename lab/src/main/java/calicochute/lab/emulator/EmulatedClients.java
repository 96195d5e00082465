package calicochute.lab.emulator;

import calicochute.lab.plan.Arrival;
import calicochute.lab.scenario.Scenario;
import calicochute.lab.scenario.Scenario.Effect;
import calicochute.lab.scenario.Scenario.RequestClass;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The clients, and the simple distribution of their requests over the balancers. Sends each request at its planned
 * time, whatever happens to the others (an open load model), retries it as the scenario says, and records how it ended.
 * A request goes to a random balancer of its client's zone that is believed to be alive.
 */
final class EmulatedClients {
    /** A client does not retry with less than this left until it gives up. */
    private static final long MIN_TIME_LEFT_MICROS = 1000;

    private final EmulationContext context;
    private final Scenario.Clients settings;
    private final List<ClientRequest> clientRequests = new ArrayList<>();
    private final Map<String, TreeMap<String, BalancerClient>> clientsByZone = new LinkedHashMap<>();
    private final UniformRandomProvider balancerChoice;
    private final Consumer<ClientRequest> onEnd;
    private int openRequests;

    EmulatedClients(EmulationContext context, Consumer<ClientRequest> onEnd) {
        this.context = context;
        this.onEnd = onEnd;
        settings = context.scenario.clients();
        balancerChoice = context.streams.of("front", 0);
        context.scenario.zones().names().forEach(zone -> clientsByZone.put(zone, new TreeMap<>()));
    }

    /** Lets clients send to a balancer. */
    void addBalancer(BalancerProcess balancer) {
        clientsByZone
                .get(balancer.spec().zone())
                .put(
                        balancer.spec().name(),
                        new BalancerClient(
                                context,
                                balancer.spec(),
                                balancer.address(),
                                context.scenario.zones().client().micros(),
                                Math.max(8, context.scenario.balancers().descriptors() / 3)));
    }

    /** Stops clients from sending to a balancer. */
    void removeBalancer(BalancerProcess balancer) {
        clientsByZone.get(balancer.spec().zone()).remove(balancer.spec().name());
    }

    /** Sends all requests at their planned times, which count from {@code start}. */
    void send(List<Arrival> arrivals, long start) {
        if (!arrivals.isEmpty()) {
            sendNext(arrivals, 0, start);
        }
    }

    /** Schedules one request, which schedules the next one, so that only one timer is pending. */
    private void sendNext(List<Arrival> arrivals, int index, long start) {
        Arrival arrival = arrivals.get(index);
        context.eventLoop.scheduleAt(start + arrival.atMicros(), () -> {
            if (index + 1 < arrivals.size()) {
                sendNext(arrivals, index + 1, start);
            }
            ClientRequest clientRequest = new ClientRequest(
                    arrival,
                    start + arrival.atMicros(),
                    context.scenario.tiers().size());
            clientRequests.add(clientRequest);
            openRequests++;
            sendTry(clientRequest, false);
        });
    }

    List<ClientRequest> clientRequests() {
        return clientRequests;
    }

    /** How many requests have been sent and have not ended. */
    int openRequests() {
        return openRequests;
    }

    /** The idempotency key of a keyed request, the same for all its tries and calls; null for other classes. */
    static String idempotencyKey(EmulationContext context, ClientRequest clientRequest) {
        return context.requestClass(clientRequest).effect() == Effect.KEYED
                ? String.format("%016x%08x", context.streams.seed(), clientRequest.arrival.number())
                : null;
    }

    private void sendTry(ClientRequest clientRequest, boolean retry) {
        RequestClass requestClass = context.requestClass(clientRequest);
        long timeLeft = clientRequest.plannedAt + requestClass.giveUp().micros() - context.eventLoop.now();
        clientRequest.tries++;
        List<BalancerClient> available = availableBalancers(clientRequest.arrival.zone());
        if (available.isEmpty()) {
            tryEnded(clientRequest, null);
            return;
        }
        double draw = retry ? balancerChoice.nextDouble() : clientRequest.arrival.balancerDraw();
        BalancerClient balancerClient = available.get((int) (draw * available.size()));
        long timeout =
                Math.min(timeLeft, Math.round(requestClass.giveUp().micros() * clientRequest.arrival.patience()));
        Request request = context.registerRequest(clientRequest, 0, balancerClient.balancer());
        balancerClient.send(
                request,
                idempotencyKey(context, clientRequest),
                retry && settings.marksRetry(),
                timeout,
                result -> tryEnded(clientRequest, result));
    }

    /** The balancers of the client's zone, or those of all zones if there is none. */
    private List<BalancerClient> availableBalancers(int zone) {
        List<BalancerClient> sameZone = List.copyOf(
                clientsByZone.get(context.scenario.zones().names().get(zone)).values());
        return !sameZone.isEmpty()
                ? sameZone
                : clientsByZone.values().stream()
                        .flatMap(clients -> clients.values().stream())
                        .toList();
    }

    private void tryEnded(ClientRequest clientRequest, BalancerClient.Result result) {
        long now = context.eventLoop.now();
        if (result != null && result.served()) {
            ClientRequest.End end = now - clientRequest.plannedAt
                            <= context.requestClass(clientRequest).aim().micros()
                    ? ClientRequest.End.SERVED
                    : ClientRequest.End.LATE;
            clientRequest.workUsed = clientRequest.workDone;
            finish(clientRequest, end, now);
            return;
        }
        boolean denied = result != null && result.denied();
        clientRequest.denials += denied ? 1 : 0;
        long delay = retryDelay(clientRequest, result);
        if (mayRetry(clientRequest, result, now + delay)) {
            context.eventLoop.scheduleAfter(delay, () -> sendTry(clientRequest, true));
            return;
        }
        finish(
                clientRequest,
                result == null || result.end() == BalancerClient.End.UNREACHABLE
                        ? ClientRequest.End.UNREACHABLE
                        : denied
                                ? ClientRequest.End.DENIED
                                : result.end() == BalancerClient.End.TIMED_OUT
                                        ? ClientRequest.End.TIMED_OUT
                                        : ClientRequest.End.FAILED,
                now);
    }

    private boolean mayRetry(ClientRequest clientRequest, BalancerClient.Result result, long when) {
        RequestClass requestClass = context.requestClass(clientRequest);
        if (clientRequest.tries > settings.retries()
                || when >= clientRequest.plannedAt + requestClass.giveUp().micros() - MIN_TIME_LEFT_MICROS) {
            return false;
        }
        if (result == null || result.denied() || result.end() == BalancerClient.End.UNREACHABLE) {
            return true;
        }
        return requestClass.effect() == Effect.REPEATABLE
                || requestClass.effect() == Effect.KEYED
                        && when
                                < clientRequest.plannedAt
                                        + requestClass.window().micros();
    }

    private long retryDelay(ClientRequest clientRequest, BalancerClient.Result result) {
        long ownDelay = switch (settings.backoff()) {
            case NONE -> 0;
            case FIXED -> settings.pause().micros();
            case DOUBLING -> settings.pause().micros() << Math.min(10, clientRequest.tries - 1);
        };
        return clientRequest.arrival.honoursRetryAfter() && result != null
                ? Math.max(ownDelay, result.retryAfterMicros())
                : ownDelay;
    }

    private void finish(ClientRequest clientRequest, ClientRequest.End end, long now) {
        clientRequest.end = end;
        clientRequest.endedAt = now;
        openRequests--;
        onEnd.accept(clientRequest);
    }
}
