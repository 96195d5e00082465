package calicochute.wire;

import calicochute.decision.Balancer;
import calicochute.decision.Balancer.Backend;
import calicochute.decision.Balancer.BackendState;
import calicochute.decision.Balancer.Event;
import calicochute.decision.Balancer.ListKind;
import calicochute.decision.Balancer.Outcome;
import calicochute.decision.Balancer.Settings;
import calicochute.settings.SettingsException;
import calicochute.settings.SettingsParser;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Runs any number of balancer instances for the simulator: translates each batch into events and the instances' actions
 * into a reply.
 */
public final class WireHost {
    private static final Outcome[] OUTCOMES = Outcome.values();
    /** How many lists of backend servers are kept for later discovery events; their slots are 0 to 15. */
    private static final int DIRECTORY_SLOTS = 16;
    /** Initial capacity, at most, of a list whose announced length has not been verified. */
    private static final int MAX_INITIAL_ENTRIES = 1 << 12;

    private final LineReader line;
    private final ReplyWriter reply;
    private final Function<Settings, Balancer> factory;
    private final Map<String, Instance> instances = new HashMap<>();
    private final List<List<Backend>> directories = new ArrayList<>();
    private long nowMicros = Long.MIN_VALUE;

    /**
     * A running balancer.
     *
     * @param classes index of each request class, by name
     * @param tenants index of each tenant, by name
     */
    private record Instance(Balancer balancer, Map<String, Integer> classes, Map<String, Integer> tenants) {}

    /** @param factory creates an instance from its settings */
    public WireHost(InputStream in, OutputStream out, Function<Settings, Balancer> factory) {
        line = new LineReader(in);
        reply = new ReplyWriter(out);
        this.factory = factory;
        for (int i = 0; i < DIRECTORY_SLOTS; i++) {
            directories.add(null);
        }
    }

    /** Answers batches until the input ends. Each starts with {@code batch} and ends with {@code commit}. */
    public void run() throws IOException, WireException {
        while (line.next()) {
            if (line.blank()) {
                continue;
            }
            if (!line.word().equals("batch")) {
                throw line.error("expected batch, got '" + line.word() + "'");
            }
            long time = line.number("time");
            if (time < nowMicros) {
                throw line.error("time goes back");
            }
            nowMicros = time;
            readBatch();
            reply.end();
        }
    }

    private void readBatch() throws IOException, WireException {
        while (line.next()) {
            if (line.blank()) {
                continue;
            }
            String word = line.word();
            if (word.equals("commit")) {
                return;
            }
            handleEvent(word);
        }
        throw line.error("input ends inside a batch");
    }

    private void handleEvent(String word) throws IOException, WireException {
        switch (word) {
            case "directory" -> readDirectory();
            case "born" -> createInstance();
            case "halt" -> instances.remove(line.text("i"));
            case "discovery" -> deliver(discovery());
            case "arrival" -> deliver(arrival());
            case "outcome" ->
                deliver(new Balancer.AttemptEnded(
                        line.hex("xid"),
                        attempt(),
                        line.text("backend"),
                        line.flag("done_flag"),
                        outcome(),
                        line.number("wait_time", 0),
                        load()));
            case "streaming" ->
                deliver(new Balancer.StreamStarted(
                        line.hex("xid"), attempt(), line.text("backend"), line.number("wait_time", 0)));
            case "timed_out_client" -> deliver(new Balancer.ClientGone(line.hex("xid")));
            case "ring" -> deliver(timer());
            case "probe_done" ->
                deliver(new Balancer.ProbeEnded(line.text("backend"), outcome(), line.number("wait_time", 0), load()));
            case "note_from" -> deliver(new Balancer.PeerMessage((int) line.number("sender", 0), bytes()));
            default -> throw line.error("unknown event '" + word + "'");
        }
    }

    /** Delivers the event to the instance that the line names. */
    private void deliver(Event event) throws WireException {
        String name = line.text("i");
        Instance instance = instance(name);
        reply.instance(name);
        deliver(instance.balancer, event);
    }

    private void deliver(Balancer balancer, Event event) {
        try {
            balancer.on(nowMicros, event, reply);
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            reply.fault(e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    private Instance instance(String name) throws WireException {
        Instance instance = instances.get(name);
        if (instance == null) {
            throw line.error(line.word() + " for " + name + ", which is not running");
        }
        return instance;
    }

    private void createInstance() throws WireException {
        String name = line.text("i");
        Settings settings = settings();
        Map<String, Integer> classes = new HashMap<>();
        settings.classes().forEach(c -> classes.put(c.name(), classes.size()));
        Map<String, Integer> tenants = new HashMap<>();
        settings.tenants().forEach(t -> tenants.put(t.name(), tenants.size()));
        instances.put(name, new Instance(factory.apply(settings), classes, tenants));
    }

    private Settings settings() throws WireException {
        Map<String, String> values = new HashMap<>(line.fields() * 2);
        for (int i = 0; i < line.fields(); i++) {
            values.put(line.name(i), line.value(i));
        }
        try {
            return SettingsParser.parse(values);
        } catch (SettingsException e) {
            throw line.error(e.getMessage());
        }
    }

    /** Reads a list of backend servers into its slot, for the discovery events that refer to it. */
    private void readDirectory() throws IOException, WireException {
        long slot = slot();
        long count = line.number("lines");
        if (count < 0) {
            throw line.error("lines is negative: '" + count + "'");
        }
        List<Backend> entries = new ArrayList<>((int) Math.min(count, MAX_INITIAL_ENTRIES));
        for (long i = 0; i < count; i++) {
            if (!line.next()) {
                throw line.error("input ends inside a directory");
            }
            if (!line.word().equals("row")) {
                throw line.error("expected row " + (i + 1) + " of " + count + ", got '" + line.word() + "'");
            }
            entries.add(new Backend(
                    line.text("backend"),
                    line.text("zone", ""),
                    (int) line.number("cluster", 0),
                    line.decimal("capacity_hint", 1),
                    state(),
                    line.number("last_start", 0),
                    line.text("machine", "")));
        }
        directories.set((int) slot, List.copyOf(entries));
    }

    private long slot() throws WireException {
        long slot = line.number("slot");
        if (slot < 0 || slot >= DIRECTORY_SLOTS) {
            throw line.error("slot is not 0 to 15: '" + slot + "'");
        }
        return slot;
    }

    private BackendState state() throws WireException {
        String word = line.text("state", "in_service");
        return switch (word) {
            case "in_service" -> BackendState.READY;
            case "terminating" -> BackendState.DRAINING;
            case "terminated" -> BackendState.GONE;
            default -> throw line.error("unknown state '" + word + "'");
        };
    }

    private Event discovery() throws WireException {
        String scope = line.text("scope");
        ListKind kind = switch (scope) {
            case "update" -> ListKind.CHANGES;
            case "replace" -> ListKind.FULL;
            case "restored" -> ListKind.RESTORED;
            case "unavailable" -> ListKind.UNAVAILABLE;
            default -> throw line.error("unknown scope '" + scope + "'");
        };
        if (kind == ListKind.UNAVAILABLE) {
            return new Balancer.BackendList(kind, List.of());
        }
        List<Backend> entries = directories.get((int) slot());
        if (entries == null) {
            throw line.error("slot names no directory: '" + slot() + "'");
        }
        return new Balancer.BackendList(kind, entries);
    }

    private Event arrival() throws WireException {
        Instance instance = instance(line.text("i"));
        Integer band = instance.classes.get(line.text("band"));
        if (band == null) {
            throw line.error("unknown band '" + line.text("band") + "'");
        }
        Integer tenant = instance.tenants.get(line.text("billing", ""));
        return new Balancer.Arrival(
                line.hex("xid"),
                band,
                tenant == null ? -1 : tenant,
                line.freshText("affinity", null),
                line.number("patience_left"),
                line.flag("resent"));
    }

    private int attempt() throws WireException {
        return (int) line.number("seq_no", 0);
    }

    private Outcome outcome() throws WireException {
        long code = line.number("state_code");
        if (code < 0 || code >= OUTCOMES.length) {
            throw line.error("state_code is not 0 to 7: '" + code + "'");
        }
        return OUTCOMES[(int) code];
    }

    /** The timer whose label is {@code PURPOSE:SUBJECT}, as {@link ReplyWriter#startTimer} writes it. */
    private Event timer() throws WireException {
        String label = line.freshText("label", "");
        int colon = label.indexOf(':');
        try {
            return new Balancer.Timer(
                    Integer.parseInt(label, 0, colon, 10),
                    Long.parseUnsignedLong(label, colon + 1, label.length(), 16));
        } catch (NumberFormatException | IndexOutOfBoundsException e) {
            throw line.error("label is not that of a timer: '" + label + "'");
        }
    }

    /** The load that the backend server reported; null if it reported none. */
    private double[] load() throws WireException {
        String row = line.freshText("metrics", null);
        if (row == null || row.isEmpty()) {
            return null;
        }
        String[] parts = row.split(",");
        double[] load = new double[parts.length];
        for (int i = 0; i < parts.length; i++) {
            try {
                load[i] = Double.parseDouble(parts[i]);
            } catch (NumberFormatException e) {
                throw line.error("metrics is not a row of numbers: '" + row + "'");
            }
        }
        return load;
    }

    /** The payload of a peer's message, in base64; {@code -} stands for an empty one. */
    private byte[] bytes() throws WireException {
        String text = line.freshText("bytes", "-");
        try {
            return text.equals("-") ? new byte[0] : Base64.getDecoder().decode(text);
        } catch (IllegalArgumentException e) {
            throw line.error("bytes is not base64: '" + text + "'");
        }
    }
}
