package calicochute.lab.scenario;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * One rehearsal: a deployment, what its clients ask, and what goes wrong. Bound by name from YAML; what is left out has
 * the default that its record's constructor gives. Balancers have {@code settle} once they are ready; for
 * {@code leadIn} requests then come at a rate that rises to the usual one and count in no figure (the referee sees
 * them).
 */
public record Scenario(
        @Within(min = 1, max = 1) Integer version,
        String title,
        String shows,
        @Within(min = 1, max = 3600) Time length,
        @Within(max = 60) Time settle,
        @Within(max = 60) Time leadIn,
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

    /** Sites, and the time that bytes take one way: within one, across two, and from a client to its balancer. */
    public record Zones(
            List<String> names,
            @Within(max = 0.1) Time within,
            @Within(max = 0.5) Time across,
            @Within(max = 0.5) Time client) {
        public Zones {
            names = names == null ? List.of("east", "west", "north") : names;
            within = within == null ? Time.of("150us") : within;
            across = across == null ? Time.of("1ms") : across;
            client = client == null ? Time.of("500us") : client;
        }
    }

    /** What a class's second run would do: nothing, harm, or nothing within the window in which keys are known. */
    public enum Effect {
        @JsonProperty("repeatable")
        REPEATABLE,
        @JsonProperty("once")
        ONCE,
        @JsonProperty("keyed")
        KEYED
    }

    /**
     * A class of requests. {@code work} is its mean in time of a core of speed 1, over all tiers; {@code spread} the
     * coefficient of variation of the lognormal that it is drawn from; {@code window} how long repeats of a key are
     * dropped, counted from the first attempt that may have run.
     */
    public record RequestClass(
            String name,
            @Within(min = 0.0001, max = 1) Double share,
            Effect effect,
            @Within(min = 0.0001, max = 60) Time work,
            @Within(max = 5) Double spread,
            @Within(min = 0.01, max = 60) Time aim,
            @Within(min = 0.01, max = 120) Time giveUp,
            @Within(max = 1000) Double worth,
            @Within(max = 120) Time window) {
        public RequestClass {
            spread = spread == null ? 0.9 : spread;
            worth = worth == null ? 1.0 : worth;
            window = window == null ? Time.of("7500ms") : window;
        }
    }

    /** A member; {@code usage} is what it sends as a multiple of its share. What is beyond the share is worth 5%. */
    public record Tenant(
            String name,
            @Within(min = 0.001, max = 1) Double share,
            @Within(min = 0.01, max = 20) Double usage) {
        public Tenant {
            usage = usage == null ? 0.9 : usage;
        }
    }

    /**
     * A tier of servers. {@code work} is its part of a class's work for each call; {@code calls} how many calls to the
     * next tier a request makes, drawn between the two bounds, one after another (0 in the last tier).
     */
    public record Tier(
            String name,
            @Within(min = 1, max = 500) Integer servers,
            @Within(min = 0.001, max = 1) Double work,
            Range calls,
            List<Kind> kinds) {
        public Tier {
            calls = calls == null ? Range.of(0, 0) : calls;
            kinds = kinds == null ? List.of() : kinds;
        }
    }

    /**
     * A kind of machine. {@code speed} is that of one core; {@code slots} and {@code queue} count requests per core;
     * {@code crowding} is the part of its efficiency that a machine loses for each request per core held beyond
     * {@code crowdedAt}; {@code coldShare} the part of its capacity that it starts with, {@code warmTime} the latest
     * time at which it is warm, sooner by work done where {@code warmByWork}; {@code noise} the coefficient of
     * variation of an attempt's work; {@code handshake} the work that a new connection costs.
     */
    public record Kind(
            String name,
            @Within(min = 0.001, max = 1) Double share,
            @Within(min = 1, max = 64) Integer cores,
            @Within(min = 0.01, max = 100) Range speed,
            @Within(min = 1, max = 1000) Double slots,
            @Within(max = 1000) Double queue,
            @Within(max = 1) Double crowding,
            @Within(min = 1, max = 1000) Double crowdedAt,
            @Within(min = 0.05, max = 1) Double coldShare,
            @Within(min = 0.1, max = 120) Time warmTime,
            Boolean warmByWork,
            @Within(max = 5) Double noise,
            @Within(max = 1) Time handshake,
            @Within(min = 4, max = 100000) Integer connections,
            @Within(min = 0.1, max = 600) Time idle,
            @Within(max = 1) Double errors,
            @Within(max = 1) Time probeWork,
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
     * A machine whose waiting requests have been over {@code at} per core for {@code after} turns {@code slower} times
     * slower, until its use has been under {@code below} for {@code rest}, or for {@code most} at the latest.
     */
    public record Sluggish(
            @Within(min = 1, max = 1000) Double at,
            @Within(min = 0.1, max = 60) Time after,
            @Within(min = 1, max = 100) Double slower,
            @Within(min = 0.1, max = 60) Time rest,
            @Within(min = 0.01, max = 1) Double below,
            @Within(min = 1, max = 600) Time most) {
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
     * First tries: at a rate, or at a share of what the tier that runs out first can do. {@code swing} is the height of
     * a slow wave about the mean; {@code zoneSkew} how much more the first zone sends than the last (0: alike).
     */
    public record Load(
            @Within(min = 0.1, max = 20000, whenAbsent = true)
            Rate rate,

            @Within(min = 0.01, max = 5, whenAbsent = true) Double utilisation,
            @Within(max = 0.9) Double swing,
            @Within(max = 0.9) Double zoneSkew) {
        public Load {
            swing = swing == null ? 0.2 : swing;
            zoneSkew = zoneSkew == null ? 0.3 : zoneSkew;
        }
    }

    /** Balancers of the first tier (later tiers have one a caller), and the limits that each is started with. */
    public record Balancers(
            @Within(min = 1, max = 400) Integer count,
            @Within(min = 32, max = 8192) Integer memoryMb,
            @Within(min = 128, max = 100000) Integer descriptors,
            @Within(min = 1, max = 100000) Integer maxOpen) {
        public Balancers {
            count = count == null ? 3 : count;
            memoryMb = memoryMb == null ? 128 : memoryMb;
            descriptors = descriptors == null ? 1024 : descriptors;
            maxOpen = maxOpen == null ? 20000 : maxOpen;
        }
    }

    /**
     * Balancers that talk to each other by datagrams, those of a tier as one cluster; left out, they don't. What each
     * is told in its operator's file: whether outcomes are shared, whether the bandit advises, {@code experiments} as
     * they stand here, and whether it keeps a folder over its restarts.
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
     * What becomes of datagrams between balancers: the part that is lost, the time that they take, the part that comes
     * twice, and the part that is held back so that later ones overtake it.
     */
    public record Network(
            @Within(max = 1) Double loss,
            @Within(max = 10) Time delay,
            @Within(max = 1) Double repeat,
            @Within(max = 1) Double reorder) {
        public Network {
            loss = loss == null ? 0.0 : loss;
            delay = delay == null ? Time.of("1ms") : delay;
            repeat = repeat == null ? 0.0 : repeat;
            reorder = reorder == null ? 0.0 : reorder;
        }
    }

    /** How clients wait between tries. */
    public enum Backoff {
        @JsonProperty("none")
        NONE,
        @JsonProperty("fixed")
        FIXED,
        @JsonProperty("doubling")
        DOUBLING
    }

    /**
     * Clients' habits: how often they ask again and after which wait, what part of them follow Retry-After, the part of
     * the class's give-up time after which a try is given up, and when the front layer notices a dead balancer.
     */
    public record Clients(
            @Within(max = 10) Integer retries,
            Backoff backoff,
            @Within(max = 60) Time pause,
            @Within(max = 1) Double honour,
            @Within(min = 0.05, max = 1) Range patience,
            Boolean marksRetry,
            @Within(max = 60) Time notice) {
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
     * The list of servers: how late it hears of a planned change and of a machine that fell silent, how many calls it
     * handles a second, how many entries cost as much as a call, and after which wait in turn a call fails.
     */
    public record Discovery(
            @Within(max = 60) Time notice,
            @Within(max = 120) Time silentNotice,
            @Within(min = 1, max = 100000) Rate capacity,
            @Within(min = 1, max = 10000) Integer lines,
            @Within(min = 0.05, max = 60) Time timeout,
            @Within(min = 0.1, max = 60) Time grace) {
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
