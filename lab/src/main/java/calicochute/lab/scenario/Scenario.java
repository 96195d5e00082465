package calicochute.lab.scenario;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * A test run of the lab: a deployment, the load on it, and the faults that are injected. YAML fields are bound to the
 * components by name; an absent field has the default that the constructor of its record sets.
 *
 * @param shows what a reader of the report learns from the run
 * @param settle the pause between the time at which all balancers are ready and the first request
 * @param leadIn the ramp-up before the start of the run, during which the request rate rises to the usual one; its
 *     requests are checked by the referee but count in no figure
 */
public record Scenario(
        @Bounds(min = 1, max = 1) Integer version,
        String title,
        String shows,
        @Bounds(min = 1, max = 3600) Time length,
        @Bounds(max = 60) Time settle,
        @Bounds(max = 60) Time leadIn,
        Zones zones,
        List<RequestClass> classes,
        List<Tenant> tenants,
        List<Tier> tiers,
        Load load,
        Balancers balancers,
        Clients clients,
        Discovery discovery,
        Fleet fleet,
        List<Trouble> troubles) {

    public Scenario {
        settle = settle == null ? Time.ofSeconds(0.2) : settle;
        leadIn = leadIn == null ? Time.ofSeconds(2) : leadIn;
        zones = zones == null ? new Zones(null, null, null, null) : zones;
        classes = classes == null ? List.of() : classes;
        tenants = tenants == null ? List.of() : tenants;
        tiers = tiers == null ? List.of() : tiers;
        load = load == null ? new Load(null, 0.5, null, null) : load;
        balancers = balancers == null ? new Balancers(null, null, null, null) : balancers;
        clients = clients == null ? new Clients(null, null, null, null, null, null, null) : clients;
        discovery = discovery == null ? new Discovery(null, null, null, null, null, null) : discovery;
        troubles = troubles == null ? List.of() : troubles;
    }

    /** Zones, and one-way network delays: within a zone, between zones, and from a client to its balancer. */
    public record Zones(
            List<String> names,
            @Bounds(max = 0.1) Time within,
            @Bounds(max = 0.5) Time across,
            @Bounds(max = 0.5) Time client) {
        public Zones {
            names = names == null ? List.of("east", "west", "north") : names;
            within = within == null ? Time.of("150us") : within;
            across = across == null ? Time.of("1ms") : across;
            client = client == null ? Time.of("500us") : client;
        }
    }

    /** Whether requests of a class may be executed more than once. */
    public enum Effect {
        /** Executing the request again does no harm. */
        @JsonProperty("repeatable")
        REPEATABLE,
        /** The request must not be executed twice. */
        @JsonProperty("once")
        ONCE,
        /** Servers drop repeats with the same idempotency key within the class's window. */
        @JsonProperty("keyed")
        KEYED
    }

    /**
     * A class of requests.
     *
     * @param share of all requests
     * @param work mean work of a request over all tiers, as time on a core of speed 1
     * @param spread the coefficient of variation of the lognormal distribution of the work
     * @param aim the time within which an answer counts as served in time
     * @param giveUp the deadline of a request over all its tries, counted from the planned first one
     * @param worth the weight of a request in the service figures
     * @param window how long repeats of a key are dropped, counted from the first attempt that may have been executed
     */
    public record RequestClass(
            String name,
            @Bounds(min = 0.0001, max = 1) Double share,
            Effect effect,
            @Bounds(min = 0.0001, max = 60) Time work,
            @Bounds(max = 5) Double spread,
            @Bounds(min = 0.01, max = 60) Time aim,
            @Bounds(min = 0.01, max = 120) Time giveUp,
            @Bounds(max = 1000) Double worth,
            @Bounds(max = 120) Time window) {
        public RequestClass {
            spread = spread == null ? 0.9 : spread;
            worth = worth == null ? 1.0 : worth;
            window = window == null ? Time.of("7500ms") : window;
        }
    }

    /**
     * A tenant.
     *
     * @param share of the total allowance
     * @param usage what it sends, as a multiple of its share; requests beyond the share have 5% of the usual worth
     */
    public record Tenant(
            String name,
            @Bounds(min = 0.001, max = 1) Double share,
            @Bounds(min = 0.01, max = 20) Double usage) {
        public Tenant {
            usage = usage == null ? 0.9 : usage;
        }
    }

    /**
     * A tier of servers.
     *
     * @param work the share of a class's work that each call to this tier takes
     * @param calls the number of calls that a request makes to the next tier, one after another (0 in the last tier)
     */
    public record Tier(
            String name,
            @Bounds(min = 1, max = 500) Integer servers,
            @Bounds(min = 0.001, max = 1) Double work,
            Range calls,
            List<Kind> kinds) {
        public Tier {
            calls = calls == null ? Range.of(0, 0) : calls;
            kinds = kinds == null ? List.of() : kinds;
        }
    }

    /**
     * A kind of machine.
     *
     * @param share of the tier's machines
     * @param speed of one core
     * @param slots requests in work at a time, per core
     * @param queue requests that may wait, per core
     * @param crowding the loss of efficiency for each request per core held beyond {@code crowdedAt}: with {@code n} of
     *     them, efficiency is 1 / (1 + n * crowding)
     * @param coldShare the share of its capacity that a machine has when it starts
     * @param warmTime the time after which it has its full capacity
     * @param warmByWork whether completed work warms it up sooner
     * @param noise the coefficient of variation of the work of an attempt
     * @param handshake the work that a new connection costs
     * @param connections the maximum number of open connections
     * @param idle the time after which an idle connection is closed
     * @param errors the share of requests that are answered with an error
     * @param probeWork the work that a health probe costs
     * @param sluggish when an overloaded machine slows down; absent if it never does
     */
    public record Kind(
            String name,
            @Bounds(min = 0.001, max = 1) Double share,
            @Bounds(min = 1, max = 64) Integer cores,
            @Bounds(min = 0.01, max = 100) Range speed,
            @Bounds(min = 1, max = 1000) Double slots,
            @Bounds(max = 1000) Double queue,
            @Bounds(max = 1) Double crowding,
            @Bounds(min = 1, max = 1000) Double crowdedAt,
            @Bounds(min = 0.05, max = 1) Double coldShare,
            @Bounds(min = 0.1, max = 120) Time warmTime,
            Boolean warmByWork,
            @Bounds(max = 5) Double noise,
            @Bounds(max = 1) Time handshake,
            @Bounds(min = 4, max = 100000) Integer connections,
            @Bounds(min = 0.1, max = 600) Time idle,
            @Bounds(max = 1) Double errors,
            @Bounds(max = 1) Time probeWork,
            Sluggish sluggish) {
        public Kind {
            share = share == null ? 1.0 : share;
            cores = cores == null ? 2 : cores;
            speed = speed == null ? Range.of(0.85, 1.1) : speed;
            slots = slots == null ? 1.0 : slots;
            queue = queue == null ? 20.0 : queue;
            crowding = crowding == null ? 0.05 : crowding;
            crowdedAt = crowdedAt == null ? 8.0 : crowdedAt;
            coldShare = coldShare == null ? 0.4 : coldShare;
            warmTime = warmTime == null ? Time.of("6s") : warmTime;
            warmByWork = warmByWork == null || warmByWork;
            noise = noise == null ? 0.2 : noise;
            handshake = handshake == null ? Time.of("4ms") : handshake;
            connections = connections == null ? 1000 : connections;
            idle = idle == null ? Time.of("30s") : idle;
            errors = errors == null ? 0.0 : errors;
            probeWork = probeWork == null ? Time.of("700us") : probeWork;
        }
    }

    /**
     * A persistent slowdown after overload. It begins when at least {@code at} requests per core have been waiting for
     * {@code after}, divides the speed of the machine by {@code slower}, and ends when the requests in work per core
     * have been under {@code below} for {@code rest}, or after {@code most}.
     */
    public record Sluggish(
            @Bounds(min = 1, max = 1000) Double at,
            @Bounds(min = 0.1, max = 60) Time after,
            @Bounds(min = 1, max = 100) Double slower,
            @Bounds(min = 0.1, max = 60) Time rest,
            @Bounds(min = 0.01, max = 1) Double below,
            @Bounds(min = 1, max = 600) Time most) {
        public Sluggish {
            at = at == null ? 6.0 : at;
            after = after == null ? Time.of("2s") : after;
            slower = slower == null ? 2.5 : slower;
            rest = rest == null ? Time.of("3s") : rest;
            below = below == null ? 0.3 : below;
            most = most == null ? Time.of("20s") : most;
        }
    }

    /**
     * The rate of first tries, either absolute or relative to capacity.
     *
     * @param utilisation the rate as a share of the capacity of the bottleneck tier
     * @param swing the amplitude of a slow sine wave about the mean rate, as a share of it
     * @param zoneSkew how unequal the zones' traffic is: weights fall linearly from 1 + zoneSkew for the first zone to
     *     1 - zoneSkew for the last
     */
    public record Load(
            @Bounds(min = 0.1, max = 20000, optional = true) Rate rate,

            @Bounds(min = 0.01, max = 5, optional = true) Double utilisation,
            @Bounds(max = 0.9) Double swing,
            @Bounds(max = 0.9) Double zoneSkew) {
        public Load {
            swing = swing == null ? 0.2 : swing;
            zoneSkew = zoneSkew == null ? 0.3 : zoneSkew;
        }
    }

    /**
     * The balancers.
     *
     * @param count of the first tier; each later tier has one for each server that calls it
     * @param memoryMb memory limit of a balancer
     * @param descriptors limit of open file descriptors of a balancer
     * @param maxOpen limit of open sessions of a balancer
     */
    public record Balancers(
            @Bounds(min = 1, max = 400) Integer count,
            @Bounds(min = 32, max = 8192) Integer memoryMb,
            @Bounds(min = 128, max = 100000) Integer descriptors,
            @Bounds(min = 1, max = 100000) Integer maxOpen) {
        public Balancers {
            count = count == null ? 3 : count;
            memoryMb = memoryMb == null ? 128 : memoryMb;
            descriptors = descriptors == null ? 1024 : descriptors;
            maxOpen = maxOpen == null ? 20000 : maxOpen;
        }
    }

    /**
     * A fleet: the balancers of each tier form a cluster and exchange datagrams. Without this field, balancers don't
     * communicate.
     *
     * @param share whether balancers share the outcomes of dispatches
     * @param bandit whether the bandit advises them
     * @param experiments copied as they are to the operator's file of each balancer
     * @param state whether a balancer has a state folder that survives its restarts
     */
    public record Fleet(Boolean share, Boolean bandit, List<Object> experiments, Boolean state, Network network) {
        public Fleet {
            share = share == null || share;
            bandit = bandit == null || bandit;
            experiments = experiments == null ? List.of() : experiments;
            state = state != null && state;
            network = network == null ? new Network(null, null, null, null) : network;
        }
    }

    /**
     * The network between balancers.
     *
     * @param loss the share of datagrams that are lost
     * @param delay the transit time of a datagram
     * @param repeat the share that are delivered twice
     * @param reorder the share that are delayed so that later ones overtake them
     */
    public record Network(
            @Bounds(max = 1) Double loss,
            @Bounds(max = 10) Time delay,
            @Bounds(max = 1) Double repeat,
            @Bounds(max = 1) Double reorder) {
        public Network {
            loss = loss == null ? 0.0 : loss;
            delay = delay == null ? Time.of("1ms") : delay;
            repeat = repeat == null ? 0.0 : repeat;
            reorder = reorder == null ? 0.0 : reorder;
        }
    }

    /** How long clients wait between tries: not at all, a fixed time, or a time that doubles. */
    public enum Backoff {
        @JsonProperty("none")
        NONE,
        @JsonProperty("fixed")
        FIXED,
        @JsonProperty("doubling")
        DOUBLING
    }

    /**
     * Client behaviour.
     *
     * @param retries the most retries of a request
     * @param pause the wait before the first retry
     * @param honour the share of clients that follow Retry-After
     * @param patience the share of the class's {@code giveUp} time after which a client gives up a try
     * @param marksRetry whether retries are marked as such
     * @param notice the time after which the front layer stops sending to a dead balancer
     */
    public record Clients(
            @Bounds(max = 10) Integer retries,
            Backoff backoff,
            @Bounds(max = 60) Time pause,
            @Bounds(max = 1) Double honour,
            @Bounds(min = 0.05, max = 1) Range patience,
            Boolean marksRetry,
            @Bounds(max = 60) Time notice) {
        public Clients {
            retries = retries == null ? 1 : retries;
            backoff = backoff == null ? Backoff.FIXED : backoff;
            pause = pause == null ? Time.of("300ms") : pause;
            honour = honour == null ? 0.6 : honour;
            patience = patience == null ? Range.of(0.5, 1) : patience;
            marksRetry = marksRetry == null || marksRetry;
            notice = notice == null ? Time.of("2s") : notice;
        }
    }

    /**
     * Service discovery.
     *
     * @param notice the delay after which the list shows a planned change
     * @param silentNotice the delay after which the list shows that a machine is unreachable
     * @param capacity calls handled a second
     * @param lines the number of list entries that cost as much as one call
     * @param timeout the time in its queue after which a call fails
     * @param grace how long a balancer may still send to a server after it was told that the server is draining
     */
    public record Discovery(
            @Bounds(max = 60) Time notice,
            @Bounds(max = 120) Time silentNotice,
            @Bounds(min = 1, max = 100000) Rate capacity,
            @Bounds(min = 1, max = 10000) Integer lines,
            @Bounds(min = 0.05, max = 60) Time timeout,
            @Bounds(min = 0.1, max = 60) Time grace) {
        public Discovery {
            notice = notice == null ? Time.of("1500ms") : notice;
            silentNotice = silentNotice == null ? Time.of("8s") : silentNotice;
            capacity = capacity == null ? new Rate(40) : capacity;
            lines = lines == null ? 50 : lines;
            timeout = timeout == null ? Time.of("3s") : timeout;
            grace = grace == null ? Time.of("3s") : grace;
        }
    }
}
