package calicochute.lab.emulator;

import calicochute.lab.discovery.InstanceRegistry;
import calicochute.lab.plan.BalancerSpec;
import calicochute.lab.scenario.Scenario;
import calicochute.lab.scenario.Scenario.Effect;
import calicochute.lab.scenario.Scenario.Kind;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.Locale;
import java.util.function.Function;

/** Writes a balancer's configuration file, as the platform would. */
final class Settings {
    /** On sockets every time limit is this much longer, in microseconds. */
    static final long SOCKET_SLACK = 50_000;

    private static final JsonNodeFactory JSON = JsonNodeFactory.instance;
    private final Site site;

    Settings(Site site) {
        this.site = site;
    }

    String configuration(
            BalancerSpec balancer, InetSocketAddress listen, InetSocketAddress discovery, long seed, ObjectNode known) {
        Scenario.Balancers limits = site.scenario.balancers();
        ObjectNode root = JSON.objectNode();
        root.put("name", balancer.name());
        root.put("listen", Site.text(listen));
        root.put("discovery", Site.text(discovery));
        root.put("seed", String.format("%016x", seed));
        root.putObject("limits")
                .put("cores", 1.0)
                .put("memory_mb", limits.memoryMb())
                .put("sockets", limits.descriptors());
        root.set("known", known);
        root.set("settings", settings(balancer));
        try {
            return new ObjectMapper().writeValueAsString(root);
        } catch (com.fasterxml.jackson.core.JacksonException e) {
            throw new IllegalStateException(e);
        }
    }

    private ObjectNode settings(BalancerSpec balancer) {
        Scenario scenario = site.scenario;
        Scenario.Tier tier = scenario.tiers().get(balancer.tier());
        ObjectNode s = JSON.objectNode();
        ArrayNode accounts = s.putArray("accounts");
        scenario.tenants()
                .forEach(t -> accounts.addObject()
                        .put("name", t.name())
                        .put("portion", t.share())
                        .put("allowance_per_s", site.deployment.allowancePerSecond() * t.share()));
        s.put(
                "balancers",
                site.deployment.balancers().stream()
                        .filter(b -> b.tier() == balancer.tier())
                        .count());
        Kind first = tier.kinds().get(0);
        s.putObject("caps")
                .put("cancel", true)
                .put("conn_idle", first.idle().micros())
                .put("connect_timeout", 150_000)
                .put("max_attempts", 3)
                .put("max_open", scenario.balancers().maxOpen())
                .put("max_retry_after", 3_000_000)
                .put("peers", scenario.fleet() != null)
                .put("probes", true)
                .put("retry_after", true)
                .put("second_copies", false)
                .put("streams_per_conn", 1);
        ArrayNode classes = s.putArray("classes");
        scenario.classes()
                .forEach(c -> classes.addObject()
                        .put("name", c.name())
                        .put("deadline", c.giveUp().micros())
                        .put("objective", c.aim().micros())
                        .put("points", c.worth())
                        .put(
                                "effect",
                                c.effect() == Effect.KEYED
                                        ? "by_key"
                                        : c.effect().name().toLowerCase(Locale.ROOT))
                        .put("key_scope", "all")
                        .put("window", c.window().micros())
                        .put("late_worth", 0.0)
                        .put("streaming", false));
        s.putObject("client_habits").put("marks_retry", scenario.clients().marksRetry());
        ArrayNode zones = s.putArray("dcs");
        scenario.zones().names().forEach(zones::add);
        s.put("discovery", "on_request");
        s.putObject("domain").put("passes_deadline", false);
        s.put("family", "chain");
        ArrayNode kinds = s.putArray("flavors");
        tier.kinds().forEach(k -> kinds.add(k.name()));
        s.putObject("goal")
                .put("whole", 0.4)
                .put("worst_class", 0.2)
                .put("worst_tenant", 0.25)
                .put("worst_window", 0.15);
        s.put("layer", balancer.tier());
        ArrayNode layers = s.putArray("layers");
        scenario.tiers().forEach(t -> layers.add(t.name()));
        s.put("me", balancer.number());
        double cold = tier.kinds().stream().mapToDouble(Kind::coldShare).min().orElse(1);
        long warm = tier.kinds().stream()
                .mapToLong(k -> k.warmTime().micros())
                .max()
                .orElse(0);
        s.putObject("obligations")
                .put("answer_slack", 20_000)
                .put("ask_every", 10_000_000)
                .put("cold_from", cold)
                .put("drain_grace", scenario.discovery().grace().micros())
                .put("fall", Emulation.FALL_SPAN)
                .put("fall_multiple", Emulation.FALL_MULTIPLE)
                .put("warm_up", warm);
        s.put("over_share_worth", Emulation.OVER_SHARE_WORTH);
        s.putObject("prices")
                .put("cross_zone", 0.09)
                .put("late_fail", 0.03)
                .put("probe", 0.0081)
                .put("waste", 0.2);
        ObjectNode report = s.putObject("report");
        report.putArray("fields").add("rif").add("rate");
        report.put("source", "pull");
        s.put("tick", 5000).put("weights", "nominal").put("worth_by", "work").put("zone", balancer.zone());
        return s;
    }

    /** A list in discovery's form; {@code address} gives each server's for the balancer that asks. */
    static ObjectNode list(InstanceRegistry.ListUpdate update, Function<String, InetSocketAddress> address) {
        ObjectNode root = JSON.objectNode();
        root.put("generation", update.version()).put("reset", update.complete());
        ArrayNode instances = root.putArray("instances");
        for (InstanceRegistry.Instance instance : update.instances()) {
            instances
                    .addObject()
                    .put("instanceId", instance.id())
                    .put("hostPort", Site.text(address.apply(instance.id())))
                    .put("zone", instance.zone())
                    .put("machineType", instance.kind())
                    .put("cell", instance.cell())
                    .put("lifecycle", instance.state().word())
                    .put("weight", instance.size())
                    .put("startedAtMs", instance.startedAt() / 1000);
        }
        return root;
    }
}
