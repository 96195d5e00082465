package calicochute.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.errors.Code;
import calicochute.experiment.Experiment;
import calicochute.operator.OperatorFile.Peer;
import calicochute.settings.SettingsParser;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What a file says is what is read; what can't be used is turned down at its place. */
class OperatorFileReaderTest {
    private static final String HEAD = "cluster: shelf\nlisten: 127.0.0.1:7001\n";
    private static final String GOOD = HEAD + "peers:\n  - { id: b, address: '127.0.0.1:7002' }\n";
    private static final String EXPERIMENT =
            GOOD + "experiments:\n  - { name: e, unit: session, control: { kind: old }, treatment: { kind: new },"
                    + " share: 0.1, lanes: [%s], least: 0.02, error: 0.05, longest: %s }\n";

    @TempDir
    private Path folder;

    private OperatorFile read(String text) throws Exception {
        return OperatorFileReader.read(
                Files.writeString(folder.resolve("fleet.yaml"), text),
                "a",
                SettingsParser.parse(
                        Map.of("nonce64", "1", "classes.count", "1", "classes.0.name", "c", "accounts.count", "1")),
                List.of());
    }

    /** @param where behind the file's name */
    private OperatorFileException complaint(String text, String where, String seen) {
        OperatorFileException e = assertThrows(OperatorFileException.class, () -> read(text));
        assertEquals(folder.resolve("fleet.yaml") + where, e.location(), e.problem());
        assertTrue(e.problem().contains(seen), e.problem());
        return e;
    }

    private void refused(String text, String where, String seen) {
        assertEquals(Code.OPERATOR_FILE, complaint(text, where, seen).code());
    }

    private static String peers(int count) {
        return HEAD + "peers:\n"
                + IntStream.range(0, count)
                        .mapToObj(i -> "  - { id: p" + i + ", address: '127.0.0.1:" + (8_000 + i) + "' }\n")
                        .collect(Collectors.joining());
    }

    @Test
    void whatIsLeftOutHasItsDefault() throws Exception {
        Peer b = new Peer("b", new InetSocketAddress("127.0.0.1", 7002));
        InetSocketAddress listen = new InetSocketAddress("127.0.0.1", 7001);
        assertEquals(
                new OperatorFile("shelf", "a", listen, List.of(b, new Peer("a", listen)), true, true, List.of(), ""),
                read(GOOD));
        assertEquals(
                new OperatorFile("shelf", "b", listen, List.of(b), false, false, List.of(), "kept"),
                read(GOOD + "me: b\nshare: false\nstate: kept\n"));
        assertFalse(read(GOOD + "share: false\n").talks());
        assertFalse(read(GOOD + "bandit: false\n").bandit());
        assertEquals(401, read(peers(400)).peers().size());
    }

    @Test
    void eachFieldIsHeldAgainstItsRule() {
        refused(GOOD.replace("shelf", "' '"), ": cluster", "1 to 64 characters");
        refused(GOOD.replaceAll("listen.*\n", ""), ": listen", "is missing");
        refused(HEAD, ": peers", "1 to 400");
        refused(peers(401), ": peers", "1 to 400");
        refused(GOOD + "  - { id: b, address: '127.0.0.1:7003' }\n", ": peers[1].id", "is there twice: b");
        refused(
                GOOD + "  - { id: c, address: '127.0.0.1:7002' }\n",
                ": peers[1].address",
                "is there twice: 127.0.0.1:7002");
        refused(GOOD + "  - { id: c }\n", ": peers[1].address", "is missing");
        refused(GOOD.replace("127.0.0.1:7002", "127.0.0.1"), "", "peers[0].address is not host:port: '127.0.0.1'");
        refused(GOOD.replace("127.0.0.1:7001", "127.0.0.1:70000"), "", "listen is not host:port");
        refused(GOOD + "share: false\nbandit: true\n", ": bandit", "needs share: true");
        refused(GOOD + "experiments: [~]\n", ": experiments", "empty entry");
        refused(GOOD + "experiments: [" + "{ name: e }, ".repeat(17) + "]\n", ": experiments", "16 at most");
    }

    @Test
    void whatCannotBeBoundIsNamedWithItsLine() {
        refused(GOOD + "colour: red\n", ":5", "colour: Unrecognized field");
        refused(GOOD + "cluster: again\n", ":5", "Duplicate field 'cluster'");
        refused("colour: red\n" + GOOD, ":1", "colour: Unrecognized field");
        refused(
                GOOD + "  - id: c\n    port: 1\n    address: x\nshare: true\n",
                ":6",
                "peers[1].port: Unrecognized field");
        refused(GOOD + "share:\n  maybe\n", ":6", "share: Cannot deserialize");
        refused("cluster: shelf\n@listen\n", ":2", "is not YAML");
        refused("", ":1", "No content");
        refused("~\n", "", "is empty");
        refused("#" + "x".repeat(1 << 20), "", "is over 1048576 bytes");
    }

    @Test
    void anExperimentThatCannotRunIsComplainedOfWithWhatToDo() {
        OperatorFileException e =
                complaint(String.format(EXPERIMENT, "d", "1h"), ": experiments: e.lanes", "LANE_UNKNOWN: d");
        assertEquals(Code.EXPERIMENT, e.code());
        assertEquals("one of [c]. " + Code.EXPERIMENT.remedy(), e.remedy());
        complaint(
                String.format(EXPERIMENT, "d", "1s"),
                ": experiments: e.longest",
                "LONGEST_OUT_OF_RANGE: PT1S (and 1 more)");
    }

    @ParameterizedTest
    @CsvSource({"90s,PT90S", "10m,PT10M", "12h,PT12H", "2d,PT48H", "PT12H,PT12H"})
    void timesHaveTheirUnit(String written, Duration meant) throws Exception {
        Experiment experiment =
                read(String.format(EXPERIMENT, "c", written)).experiments().get(0);
        assertEquals(meant, experiment.longest());
        assertEquals(Experiment.Unit.SESSION, experiment.unit());
    }

    @ParameterizedTest
    @CsvSource({"12", "12x", "-5m", "1.5h", "soon", "PTx"})
    void noOtherTimeIsTaken(String written) {
        refused(
                String.format(EXPERIMENT, "c", written),
                ":6",
                "experiments[0].longest: '" + written + "' is no time such as");
    }
}
