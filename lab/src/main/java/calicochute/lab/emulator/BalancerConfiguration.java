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

/** Writes a balancer's configuration file in the form in which the platform provides it. */
final class BalancerConfiguration {
    /** Added to each time limit of the rules, for delays of real sockets, in microseconds. */
    static final long SOCKET_GRACE_MICROS = 50_000;

    private static final JsonNodeFactory JSON = JsonNodeFactory.instance;
    private final EmulationContext context;

    BalancerConfiguration(EmulationContext context) {
        this.context = context;
    }

    /** The JSON text for one start; {@code known} is the list of servers that the balancer starts with. */
    String configuration(
            BalancerSpec balancer, InetSocketAddress listen, InetSocketAddress discovery, long seed, ObjectNode known) {
        Scenario.Balancers limits = context.scenario.balancers();
        ObjectNode root = JSON.objectNode();
        root.put("name", balancer.name());
        root.put("listen", EmulationContext.hostPort(listen));
        root.put("discovery", EmulationContext.hostPort(discovery));
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
        Scenario scenario = context.scenario;
        Scenario.Tier tier = scenario.tiers().get(balancer.tier());
        ObjectNode settings = JSON.objectNode();
        ArrayNode accounts = settings.putArray("accounts");
        scenario.tenants()
                .forEach(tenant -> accounts.addObject()
                        .put("name", tenant.name())
                        .put("portion", tenant.share())
                        .put("allowance_per_s", context.deployment.allowancePerSecond() * tenant.share()));
        settings.put(
                "balancers",
                context.deployment.balancers().stream()
                        .filter(other -> other.tier() == balancer.tier())
                        .count());
        Kind first = tier.kinds().get(0);
        settings.putObject("caps")
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
        ArrayNode classes = settings.putArray("classes");
        scenario.classes()
                .forEach(requestClass -> classes.addObject()
                        .put("name", requestClass.name())
                        .put("deadline", requestClass.giveUp().micros())
                        .put("objective", requestClass.aim().micros())
                        .put("points", requestClass.worth())
                        .put(
                                "effect",
                                requestClass.effect() == Effect.KEYED
                                        ? "by_key"
                                        : requestClass.effect().name().toLowerCase(Locale.ROOT))
                        .put("key_scope", "all")
                        .put("window", requestClass.window().micros())
                        .put("late_worth", 0.0)
                        .put("streaming", false));
        settings.putObject("client_habits")
                .put("marks_retry", scenario.clients().marksRetry());
        ArrayNode zones = settings.putArray("dcs");
        scenario.zones().names().forEach(zones::add);
        settings.put("discovery", "on_request");
        settings.putObject("domain").put("passes_deadline", false);
        settings.put("family", "chain");
        ArrayNode kinds = settings.putArray("flavors");
        tier.kinds().forEach(kind -> kinds.add(kind.name()));
        settings.putObject("goal")
                .put("whole", 0.4)
                .put("worst_class", 0.2)
                .put("worst_tenant", 0.25)
                .put("worst_window", 0.15);
        settings.put("layer", balancer.tier());
        ArrayNode layers = settings.putArray("layers");
        scenario.tiers().forEach(each -> layers.add(each.name()));
        settings.put("me", balancer.number());
        double cold = tier.kinds().stream().mapToDouble(Kind::coldShare).min().orElse(1);
        long warm = tier.kinds().stream()
                .mapToLong(kind -> kind.warmTime().micros())
                .max()
                .orElse(0);
        settings.putObject("obligations")
                .put("answer_slack", 20_000)
                .put("ask_every", 10_000_000)
                .put("cold_from", cold)
                .put("drain_grace", scenario.discovery().grace().micros())
                .put("fall", Emulation.COLLAPSE_SPAN_MICROS)
                .put("fall_multiple", Emulation.COLLAPSE_MULTIPLE)
                .put("warm_up", warm);
        settings.put("over_share_worth", Emulation.OVER_SHARE_WORTH);
        settings.putObject("prices")
                .put("cross_zone", 0.09)
                .put("late_fail", 0.03)
                .put("probe", 0.0081)
                .put("waste", 0.2);
        ObjectNode report = settings.putObject("report");
        report.putArray("fields").add("rif").add("rate");
        report.put("source", "pull");
        settings.put("tick", 5000)
                .put("weights", "nominal")
                .put("worth_by", "work")
                .put("zone", balancer.zone());
        return settings;
    }

    /** A list in discovery's JSON form; {@code address} gives the address of a server, by its id, for the caller. */
    static ObjectNode list(InstanceRegistry.ListUpdate update, Function<String, InetSocketAddress> address) {
        ObjectNode root = JSON.objectNode();
        root.put("generation", update.version()).put("reset", update.complete());
        ArrayNode instances = root.putArray("instances");
        for (InstanceRegistry.Instance instance : update.instances()) {
            instances
                    .addObject()
                    .put("instanceId", instance.id())
                    .put("hostPort", EmulationContext.hostPort(address.apply(instance.id())))
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
