package calicochute.lab.scenario;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Something that goes wrong. {@code servers} of {@code tier} are hit (or the part of it that {@code part} says), or
 * {@code balancers} (or the {@code part} of them), or the {@code zone}; {@code factor} is how much slower, how many
 * times the traffic, or which part of connections, answers or datagrams; {@code every} the distance between the steps
 * of a rolling trouble; {@code others} how many balancers stand at the other end of a one-way cut (left out: all
 * others); {@code delay} what is added to a datagram's time. Where {@code tier} is given, balancers are those that
 * choose among that tier's servers.
 */
public record Trouble(
        Kind kind,
        @Within(max = 3600) Time at,
        @Within(min = 0.01, max = 3600) Time lasts,
        String tier,
        @Within(min = 1, max = 500, whenAbsent = true) Integer servers,
        @Within(min = 0.001, max = 1, whenAbsent = true) Double part,
        @Within(min = 0.001, max = 1000) Double factor,
        @Within(min = 1, max = 400) Integer balancers,
        @Within(min = 1, max = 400, whenAbsent = true) Integer others,
        String zone,
        @Within(min = 0.01, max = 600) Time every,
        @Within(min = 0.1, max = 1000) Rate rate,
        @Within(max = 60) Time delay) {

    public Trouble {
        lasts = lasts == null ? Time.of("5s") : lasts;
        factor = factor == null && kind != null ? kind.factor : factor;
        balancers = balancers == null ? 1 : balancers;
        every = every == null ? Time.of("2s") : every;
        rate = rate == null ? new Rate(20) : rate;
        delay = delay == null ? Time.of("100ms") : delay;
    }

    /** What it hits. */
    public enum Target {
        SERVERS,
        BALANCERS,
        ZONE,
        CLIENTS,
        DISCOVERY,
        NETWORK
    }

    /** Each kind with what it hits and the factor that counts where none is given. */
    public enum Kind {
        /** Work runs slower by the factor. */
        @JsonProperty("slow")
        SLOW(Target.SERVERS, 5),
        /** Requests are accepted and never answered. */
        @JsonProperty("hang")
        HANG(Target.SERVERS, 1),
        /** Nothing runs, nothing is read; all goes on afterwards. */
        @JsonProperty("pause")
        PAUSE(Target.SERVERS, 1),
        /** The process dies: connections are reset, new ones refused; it starts again, cold, at the end. */
        @JsonProperty("crash")
        CRASH(Target.SERVERS, 1),
        /** The machine vanishes: open connections fall silent, new ones never come up. */
        @JsonProperty("silent")
        SILENT(Target.SERVERS, 1),
        /** One after another drains, ends and comes back cold. */
        @JsonProperty("drain")
        DRAIN(Target.SERVERS, 1),
        /** Connections are reset under their requests; the factor is the part of requests. */
        @JsonProperty("reset")
        RESET(Target.SERVERS, 0.05),
        /** Idle connections are closed after 300 ms in place of the time in the settings. */
        @JsonProperty("stale")
        STALE(Target.SERVERS, 1),
        /** Answers can't be read, don't end, or bring more than belongs to them; the factor is their part. */
        @JsonProperty("spoilt")
        SPOILT(Target.SERVERS, 0.1),
        /** Traffic is multiplied by the factor. */
        @JsonProperty("jump")
        JUMP(Target.CLIENTS, 2),
        /** Clients send what can't be read, half requests, endless heads, or nothing at all. */
        @JsonProperty("bad-clients")
        BAD_CLIENTS(Target.CLIENTS, 1),
        /** A zone is cut off from the others: silence across, calm within. */
        @JsonProperty("zone-cut")
        ZONE_CUT(Target.ZONE, 1),
        /** Discovery answers nobody. */
        @JsonProperty("discovery-down")
        DISCOVERY_DOWN(Target.DISCOVERY, 1),
        /** A planned restart: SIGTERM, and a new start once the process has ended. */
        @JsonProperty("balancer-restart")
        BALANCER_RESTART(Target.BALANCERS, 1),
        /** SIGKILL, and a new start at the end. */
        @JsonProperty("balancer-kill")
        BALANCER_KILL(Target.BALANCERS, 1),
        /** SIGSTOP, and SIGCONT at the end: the process stands still and then goes on as if no time had passed. */
        @JsonProperty("balancer-pause")
        BALANCER_PAUSE(Target.BALANCERS, 1),
        /** Datagrams from and to the balancers are lost; the factor is their part. */
        @JsonProperty("net-loss")
        NET_LOSS(Target.NETWORK, 0.2),
        /** Datagrams from and to the balancers take longer. */
        @JsonProperty("net-delay")
        NET_DELAY(Target.NETWORK, 1),
        /** Nothing comes from the balancers to the others; the way back is open. */
        @JsonProperty("net-cut")
        NET_CUT(Target.NETWORK, 1),
        /** Nothing passes between the balancers and all others, either way. */
        @JsonProperty("net-split")
        NET_SPLIT(Target.NETWORK, 1),
        /** What comes to the balancers comes late, as to a process that reads too slowly. */
        @JsonProperty("net-slow-peer")
        NET_SLOW_PEER(Target.NETWORK, 1);

        public final Target target;
        final double factor;

        Kind(Target target, double factor) {
            this.target = target;
            this.factor = factor;
        }

        /** The word in a scenario file. */
        public String word() {
            return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
        }
    }
}
