package calicochute.lab.scenario;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A fault that the lab injects.
 *
 * @param at when it begins, from the start of the run
 * @param tier whose servers are hit; for balancers, the tier whose servers they choose among
 * @param servers how many servers of the tier are hit
 * @param part the share of the tier's servers, or of the balancers, that are hit, in place of a number
 * @param factor the slowdown, the multiple of the usual traffic, or the share of requests, answers or datagrams
 *     affected
 * @param balancers how many balancers are hit
 * @param others how many balancers are at the other end of a one-way cut; all others if absent
 * @param zone the zone that is cut off
 * @param every the interval between the steps of a rolling drain
 * @param rate at which bad clients connect
 * @param delay added to the transit time of a datagram
 */
public record Trouble(
        Kind kind,
        @Bounds(max = 3600) Time at,
        @Bounds(min = 0.01, max = 3600) Time lasts,
        String tier,
        @Bounds(min = 1, max = 500, optional = true) Integer servers,
        @Bounds(min = 0.001, max = 1, optional = true) Double part,
        @Bounds(min = 0.001, max = 1000) Double factor,
        @Bounds(min = 1, max = 400) Integer balancers,
        @Bounds(min = 1, max = 400, optional = true) Integer others,
        String zone,
        @Bounds(min = 0.01, max = 600) Time every,
        @Bounds(min = 0.1, max = 1000) Rate rate,
        @Bounds(max = 60) Time delay) {

    public Trouble {
        lasts = lasts == null ? Time.of("5s") : lasts;
        factor = factor == null && kind != null ? kind.defaultFactor : factor;
        balancers = balancers == null ? 1 : balancers;
        every = every == null ? Time.of("2s") : every;
        rate = rate == null ? new Rate(20) : rate;
        delay = delay == null ? Time.of("100ms") : delay;
    }

    /** What a trouble hits. */
    public enum Target {
        SERVERS,
        BALANCERS,
        ZONE,
        CLIENTS,
        DISCOVERY,
        NETWORK
    }

    /** The kinds of trouble, each with its target and its default factor. */
    public enum Kind {
        /** Servers work slower by the factor. */
        @JsonProperty("slow")
        SLOW(Target.SERVERS, 5),
        /** Servers accept requests and never answer them. */
        @JsonProperty("hang")
        HANG(Target.SERVERS, 1),
        /** Servers neither work nor read from sockets, and continue where they stopped afterwards. */
        @JsonProperty("pause")
        PAUSE(Target.SERVERS, 1),
        /** The process dies: connections are reset and new ones refused; it starts again, cold, at the end. */
        @JsonProperty("crash")
        CRASH(Target.SERVERS, 1),
        /** The machine is unreachable: open connections receive nothing, and new ones are never established. */
        @JsonProperty("silent")
        SILENT(Target.SERVERS, 1),
        /** Servers drain, stop and come back cold, one after another. */
        @JsonProperty("drain")
        DRAIN(Target.SERVERS, 1),
        /** Connections are reset during requests; the factor is the share of requests. */
        @JsonProperty("reset")
        RESET(Target.SERVERS, 0.05),
        /** Servers close idle connections after 300 ms instead of the configured time. */
        @JsonProperty("stale")
        STALE(Target.SERVERS, 1),
        /** Answers are malformed, truncated, or followed by extra bytes; the factor is the share of answers. */
        @JsonProperty("spoilt")
        SPOILT(Target.SERVERS, 0.1),
        /** Traffic is multiplied by the factor. */
        @JsonProperty("jump")
        JUMP(Target.CLIENTS, 2),
        /** Additional clients send malformed requests, incomplete requests, endless headers, or nothing at all. */
        @JsonProperty("bad-clients")
        BAD_CLIENTS(Target.CLIENTS, 1),
        /** A zone is partitioned from the others; traffic within it is unaffected. */
        @JsonProperty("zone-cut")
        ZONE_CUT(Target.ZONE, 1),
        /** Discovery answers no request. */
        @JsonProperty("discovery-down")
        DISCOVERY_DOWN(Target.DISCOVERY, 1),
        /** A planned restart: SIGTERM, and a new process once the old one has exited. */
        @JsonProperty("balancer-restart")
        BALANCER_RESTART(Target.BALANCERS, 1),
        /** SIGKILL, and a new process at the end. */
        @JsonProperty("balancer-kill")
        BALANCER_KILL(Target.BALANCERS, 1),
        /** SIGSTOP, and SIGCONT at the end: the process is suspended and continues unaware of the gap. */
        @JsonProperty("balancer-pause")
        BALANCER_PAUSE(Target.BALANCERS, 1),
        /** Datagrams from and to the balancers are lost; the factor is the share lost. */
        @JsonProperty("net-loss")
        NET_LOSS(Target.NETWORK, 0.2),
        /** Datagrams from and to the balancers are delayed. */
        @JsonProperty("net-delay")
        NET_DELAY(Target.NETWORK, 1),
        /** No datagram from the balancers reaches the others; the opposite direction works. */
        @JsonProperty("net-cut")
        NET_CUT(Target.NETWORK, 1),
        /** No datagram passes between the balancers and all others, in either direction. */
        @JsonProperty("net-split")
        NET_SPLIT(Target.NETWORK, 1),
        /** Datagrams to the balancers arrive late, as at a process that reads too slowly. */
        @JsonProperty("net-slow-peer")
        NET_SLOW_PEER(Target.NETWORK, 1);

        public final Target target;
        final double defaultFactor;

        Kind(Target target, double defaultFactor) {
            this.target = target;
            this.defaultFactor = defaultFactor;
        }

        /** The name of the kind in a scenario file. */
        public String word() {
            return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
        }
    }
}
