package calicochute.operator;

import calicochute.decision.Balancer.Backend;
import calicochute.decision.Balancer.RequestClass;
import calicochute.decision.Balancer.Settings;
import calicochute.decision.Balancer.Tenant;
import calicochute.errors.Code;
import calicochute.experiment.Complaint;
import calicochute.experiment.Experiment;
import calicochute.experiment.ExperimentValidator;
import calicochute.operator.OperatorFile.Peer;
import calicochute.settings.Configuration;
import calicochute.settings.SettingsException;
import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonPointer;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.yaml.snakeyaml.error.MarkedYAMLException;

/** Reads the operator's file (YAML) and holds it against the settings; every complaint names file, line and rule. */
public final class OperatorFileReader {
    private static final int MOST_PEERS = 400;
    private static final int MOST_EXPERIMENTS = 16;
    private static final long MOST_BYTES = 1 << 20;
    private static final int MOST_NAME = 64;
    private static final Pattern TIME = Pattern.compile("(\\d{1,9})(s|m|h|d)");
    private final Path file;

    private OperatorFileReader(Path file) {
        this.file = file;
    }

    /** As it stands in the file, before any check; absent entries are null. */
    record Raw(
            String cluster,
            String me,
            String listen,
            List<RawPeer> peers,
            Boolean share,
            Boolean bandit,
            List<Experiment> experiments,
            String state) {}

    record RawPeer(String id, String address) {}

    /**
     * @param name this balancer's, where the file does not say it
     * @param servers against which arms are held; empty where they are not known yet
     */
    public static OperatorFile read(Path file, String name, Settings settings, List<Backend> servers)
            throws OperatorFileException {
        return new OperatorFileReader(file).read(name, settings, servers);
    }

    private OperatorFile read(String name, Settings settings, List<Backend> servers) throws OperatorFileException {
        Raw raw = raw();
        String me = raw.me == null ? name : raw.me;
        need(
                raw.cluster != null && !raw.cluster.isBlank() && raw.cluster.length() <= MOST_NAME,
                "cluster",
                "must be 1 to " + MOST_NAME + " characters");
        need(raw.listen != null, "listen", "is missing: the UDP address at which this balancer hears the others");
        List<Peer> peers = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        Set<InetSocketAddress> addresses = new HashSet<>();
        for (RawPeer peer : raw.peers == null ? List.<RawPeer>of() : raw.peers) {
            String at = "peers[" + peers.size() + "]";
            need(
                    peer != null && peer.id != null && !peer.id.isBlank() && peer.id.length() <= MOST_NAME,
                    at + ".id",
                    "must be 1 to " + MOST_NAME + " characters");
            need(peer.address != null, at + ".address", "is missing");
            InetSocketAddress address = address(at + ".address", peer.address);
            need(ids.add(peer.id), at + ".id", "is there twice: " + peer.id);
            need(addresses.add(address), at + ".address", "is there twice: " + peer.address);
            peers.add(new Peer(peer.id, address));
        }
        need(!peers.isEmpty() && peers.size() <= MOST_PEERS, "peers", "must be 1 to " + MOST_PEERS);
        InetSocketAddress listen = address("listen", raw.listen);
        if (ids.add(me)) {
            // The list may be the same at all balancers or leave out each one's own line.
            peers.add(new Peer(me, listen));
        }
        boolean share = raw.share == null || raw.share;
        boolean bandit = raw.bandit == null ? share : raw.bandit;
        need(share || !bandit, "bandit", "needs share: true");
        List<Experiment> experiments = raw.experiments == null ? List.of() : raw.experiments;
        need(experiments.size() <= MOST_EXPERIMENTS, "experiments", "must be " + MOST_EXPERIMENTS + " at most");
        experiments(experiments, settings, servers);
        return new OperatorFile(
                raw.cluster, me, listen, peers, share, bandit, experiments, raw.state == null ? "" : raw.state);
    }

    private void experiments(List<Experiment> experiments, Settings settings, List<Backend> servers)
            throws OperatorFileException {
        need(experiments.stream().noneMatch(java.util.Objects::isNull), "experiments", "holds an empty entry");
        List<Complaint> complaints = ExperimentValidator.validate(
                experiments,
                new ExperimentValidator.Context(
                        servers.stream().map(OperatorFileReader::server).toList(),
                        settings.classes().stream().map(RequestClass::name).collect(Collectors.toSet()),
                        settings.tenants().stream().map(Tenant::name).collect(Collectors.toSet()),
                        1));
        if (!complaints.isEmpty()) {
            Complaint first = complaints.get(0);
            throw new OperatorFileException(
                    Code.EXPERIMENT,
                    file + ": experiments: " + first.where(),
                    first.code() + ": " + first.seen()
                            + (complaints.size() > 1 ? " (and " + (complaints.size() - 1) + " more)" : ""),
                    first.todo());
        }
    }

    /** A listed server as experiments select it. */
    public static Experiment.Server server(Backend b) {
        return new Experiment.Server(b.id(), b.kind(), Integer.toString(b.cell()), b.zone(), b.weight());
    }

    private Raw raw() throws OperatorFileException {
        try {
            if (Files.size(file) > MOST_BYTES) {
                throw new OperatorFileException(file.toString(), "is over " + MOST_BYTES + " bytes long");
            }
            Raw raw = mapper().readValue(Files.readString(file), Raw.class);
            if (raw == null) {
                throw new OperatorFileException(file.toString(), "is empty");
            }
            return raw;
        } catch (UnrecognizedPropertyException e) {
            throw new OperatorFileException(place(e.getPath()), path(e) + e.getOriginalMessage());
        } catch (JsonMappingException e) {
            throw new OperatorFileException(place(e), path(e) + e.getOriginalMessage());
        } catch (JacksonException e) {
            throw new OperatorFileException(place(e), "is not YAML: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new OperatorFileException(file.toString(), "cannot be read: " + e);
        }
    }

    private static String path(JsonMappingException e) {
        String path = e.getPath().stream()
                .map(r -> r.getFieldName() == null ? "[" + r.getIndex() + "]" : "." + r.getFieldName())
                .collect(Collectors.joining())
                .replaceFirst("^\\.", "");
        return path.isEmpty() ? "" : path + ": ";
    }

    /** Where a field is: a record's unknown ones are refused at its end only, and with the place of that. */
    private String place(List<JsonMappingException.Reference> path) {
        JsonPointer wanted = JsonPointer.empty();
        for (JsonMappingException.Reference r : path) {
            wanted = r.getFieldName() == null
                    ? wanted.appendIndex(r.getIndex())
                    : wanted.appendProperty(r.getFieldName());
        }
        try (JsonParser parser = mapper().createParser(Files.readString(file))) {
            while (parser.nextToken() != null) {
                if (parser.getParsingContext().pathAsPointer().equals(wanted)) {
                    return file + ":" + parser.currentTokenLocation().getLineNr();
                }
            }
        } catch (IOException e) {
            // It was changed meanwhile: the file alone is named.
        }
        return file.toString();
    }

    private String place(JacksonException e) {
        for (Throwable cause = e; cause != null; cause = cause.getCause()) {
            // Jackson's own place is behind the last token that could be read.
            if (cause instanceof MarkedYAMLException yaml && yaml.getProblemMark() != null) {
                return file + ":" + (yaml.getProblemMark().getLine() + 1);
            }
        }
        return file + (e.getLocation() == null ? "" : ":" + e.getLocation().getLineNr());
    }

    private static ObjectMapper mapper() {
        return YAMLMapper.builder()
                .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
                .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
                .addModule(new SimpleModule().addDeserializer(Duration.class, new Times()))
                .build();
    }

    /** A number with its unit: 90s, 10m, 6h, 2d. */
    private static final class Times extends StdDeserializer<Duration> {
        private static final long serialVersionUID = 1L;

        Times() {
            super(Duration.class);
        }

        @Override
        public Duration deserialize(JsonParser parser, DeserializationContext context) throws IOException {
            Matcher time = TIME.matcher(parser.getText().trim());
            if (parser.getText().startsWith("P")) {
                return iso(parser);
            }
            if (!time.matches()) {
                throw JsonMappingException.from(
                        parser, "'" + parser.getText() + "' is no time such as 90s, 10m, 6h or 2d");
            }
            long many = Long.parseLong(time.group(1));
            return switch (time.group(2)) {
                case "s" -> Duration.ofSeconds(many);
                case "m" -> Duration.ofMinutes(many);
                case "h" -> Duration.ofHours(many);
                default -> Duration.ofDays(many);
            };
        }
    }

    private static Duration iso(JsonParser parser) throws IOException {
        try {
            return Duration.parse(parser.getText());
        } catch (DateTimeParseException e) {
            throw JsonMappingException.from(parser, "'" + parser.getText() + "' is no time such as PT12H");
        }
    }

    private InetSocketAddress address(String field, String text) throws OperatorFileException {
        try {
            return Configuration.address(field, text);
        } catch (SettingsException e) {
            throw new OperatorFileException(file.toString(), e.getMessage());
        }
    }

    private void need(boolean holds, String field, String rule) throws OperatorFileException {
        if (!holds) {
            throw new OperatorFileException(file + ": " + field, rule);
        }
    }
}
