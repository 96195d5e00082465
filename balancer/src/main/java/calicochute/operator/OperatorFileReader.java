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

/**
 * Reads the operator's file (YAML) and validates it against the settings. An exception names the file, the line or
 * field and the rule.
 */
public final class OperatorFileReader {
    private static final int MAX_PEERS = 400;
    private static final int MAX_EXPERIMENTS = 16;
    private static final long MAX_FILE_BYTES = 1 << 20;
    private static final int MAX_NAME_LENGTH = 64;
    private static final Pattern DURATION = Pattern.compile("(\\d{1,9})(s|m|h|d)");
    private final Path file;

    private OperatorFileReader(Path file) {
        this.file = file;
    }

    /** The file's contents before validation; missing entries are null. */
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
     * Reads and validates a file.
     *
     * @param name this balancer's id where the file has none
     * @param servers servers that the experiments' arms are checked against; empty if not known yet
     */
    public static OperatorFile read(Path file, String name, Settings settings, List<Backend> servers)
            throws OperatorFileException {
        return new OperatorFileReader(file).read(name, settings, servers);
    }

    private OperatorFile read(String name, Settings settings, List<Backend> servers) throws OperatorFileException {
        Raw raw = raw();
        String me = raw.me == null ? name : raw.me;
        check(
                raw.cluster != null && !raw.cluster.isBlank() && raw.cluster.length() <= MAX_NAME_LENGTH,
                "cluster",
                "must be 1 to " + MAX_NAME_LENGTH + " characters");
        check(raw.listen != null, "listen", "is missing: the UDP address at which this balancer receives datagrams");
        List<Peer> peers = new ArrayList<>();
        Set<String> ids = new HashSet<>();
        Set<InetSocketAddress> addresses = new HashSet<>();
        for (RawPeer peer : raw.peers == null ? List.<RawPeer>of() : raw.peers) {
            String field = "peers[" + peers.size() + "]";
            check(
                    peer != null && peer.id != null && !peer.id.isBlank() && peer.id.length() <= MAX_NAME_LENGTH,
                    field + ".id",
                    "must be 1 to " + MAX_NAME_LENGTH + " characters");
            check(peer.address != null, field + ".address", "is missing");
            InetSocketAddress address = address(field + ".address", peer.address);
            check(ids.add(peer.id), field + ".id", "is a duplicate: " + peer.id);
            check(addresses.add(address), field + ".address", "is a duplicate: " + peer.address);
            peers.add(new Peer(peer.id, address));
        }
        check(!peers.isEmpty() && peers.size() <= MAX_PEERS, "peers", "must be 1 to " + MAX_PEERS);
        InetSocketAddress listen = address("listen", raw.listen);
        if (ids.add(me)) {
            // The list may be the same at all balancers, or leave out this balancer.
            peers.add(new Peer(me, listen));
        }
        boolean share = raw.share == null || raw.share;
        boolean bandit = raw.bandit == null ? share : raw.bandit;
        check(share || !bandit, "bandit", "needs share: true");
        List<Experiment> experiments = raw.experiments == null ? List.of() : raw.experiments;
        check(experiments.size() <= MAX_EXPERIMENTS, "experiments", "must be " + MAX_EXPERIMENTS + " at most");
        validate(experiments, settings, servers);
        return new OperatorFile(
                raw.cluster, me, listen, peers, share, bandit, experiments, raw.state == null ? "" : raw.state);
    }

    private void validate(List<Experiment> experiments, Settings settings, List<Backend> servers)
            throws OperatorFileException {
        check(experiments.stream().noneMatch(java.util.Objects::isNull), "experiments", "holds an empty entry");
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

    /** A listed server in the form that the selectors of experiments match. */
    public static Experiment.Server server(Backend backend) {
        return new Experiment.Server(
                backend.id(), backend.kind(), Integer.toString(backend.cell()), backend.zone(), backend.weight());
    }

    private Raw raw() throws OperatorFileException {
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw new OperatorFileException(file.toString(), "is over " + MAX_FILE_BYTES + " bytes long");
            }
            Raw raw = mapper().readValue(Files.readString(file), Raw.class);
            if (raw == null) {
                throw new OperatorFileException(file.toString(), "is empty");
            }
            return raw;
        } catch (UnrecognizedPropertyException e) {
            throw new OperatorFileException(location(e.getPath()), pathPrefix(e) + e.getOriginalMessage());
        } catch (JsonMappingException e) {
            throw new OperatorFileException(location(e), pathPrefix(e) + e.getOriginalMessage());
        } catch (JacksonException e) {
            throw new OperatorFileException(location(e), "is not YAML: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new OperatorFileException(file.toString(), "cannot be read: " + e);
        }
    }

    private static String pathPrefix(JsonMappingException e) {
        String path = e.getPath().stream()
                .map(reference -> reference.getFieldName() == null
                        ? "[" + reference.getIndex() + "]"
                        : "." + reference.getFieldName())
                .collect(Collectors.joining())
                .replaceFirst("^\\.", "");
        return path.isEmpty() ? "" : path + ": ";
    }

    /**
     * The file and line of a field. Jackson reports an unknown field of a record only at the record's end and with that
     * location.
     */
    private String location(List<JsonMappingException.Reference> path) {
        JsonPointer wanted = JsonPointer.empty();
        for (JsonMappingException.Reference reference : path) {
            wanted = reference.getFieldName() == null
                    ? wanted.appendIndex(reference.getIndex())
                    : wanted.appendProperty(reference.getFieldName());
        }
        try (JsonParser parser = mapper().createParser(Files.readString(file))) {
            while (parser.nextToken() != null) {
                if (parser.getParsingContext().pathAsPointer().equals(wanted)) {
                    return file + ":" + parser.currentTokenLocation().getLineNr();
                }
            }
        } catch (IOException e) {
            // The file has changed since; the location is the file alone.
        }
        return file.toString();
    }

    private String location(JacksonException e) {
        for (Throwable cause = e; cause != null; cause = cause.getCause()) {
            // Jackson's own location is after the last token that it could read.
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
                .addModule(new SimpleModule().addDeserializer(Duration.class, new DurationDeserializer()))
                .build();
    }

    /** Reads a duration: a number with a unit (90s, 10m, 6h, 2d), or ISO 8601. */
    private static final class DurationDeserializer extends StdDeserializer<Duration> {
        private static final long serialVersionUID = 1L;

        DurationDeserializer() {
            super(Duration.class);
        }

        @Override
        public Duration deserialize(JsonParser parser, DeserializationContext context) throws IOException {
            Matcher matcher = DURATION.matcher(parser.getText().trim());
            if (parser.getText().startsWith("P")) {
                return isoDuration(parser);
            }
            if (!matcher.matches()) {
                throw JsonMappingException.from(
                        parser, "'" + parser.getText() + "' is not a duration such as 90s, 10m, 6h or 2d");
            }
            long count = Long.parseLong(matcher.group(1));
            return switch (matcher.group(2)) {
                case "s" -> Duration.ofSeconds(count);
                case "m" -> Duration.ofMinutes(count);
                case "h" -> Duration.ofHours(count);
                default -> Duration.ofDays(count);
            };
        }
    }

    private static Duration isoDuration(JsonParser parser) throws IOException {
        try {
            return Duration.parse(parser.getText());
        } catch (DateTimeParseException e) {
            throw JsonMappingException.from(parser, "'" + parser.getText() + "' is not a duration such as PT12H");
        }
    }

    private InetSocketAddress address(String field, String text) throws OperatorFileException {
        try {
            return Configuration.address(field, text);
        } catch (SettingsException e) {
            throw new OperatorFileException(file.toString(), e.getMessage());
        }
    }

    private void check(boolean holds, String field, String rule) throws OperatorFileException {
        if (!holds) {
            throw new OperatorFileException(file + ": " + field, rule);
        }
    }
}
