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

/**
 * Guards against an operator's file that is read differently from what it says, and against errors that don't tell the
 * operator which line or field is invalid.
 */
class OperatorFileReaderTest {
    private static final String HEADER = "cluster: shelf\nlisten: 127.0.0.1:7001\n";
    private static final String VALID = HEADER + "peers:\n  - { id: b, address: '127.0.0.1:7002' }\n";
    private static final String EXPERIMENT =
            VALID + "experiments:\n  - { name: e, unit: session, control: { kind: old }, treatment: { kind: new },"
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

    /** @param location the part of the location after the file's name */
    private OperatorFileException assertInvalid(String text, String location, String problem) {
        OperatorFileException e = assertThrows(OperatorFileException.class, () -> read(text));
        assertEquals(folder.resolve("fleet.yaml") + location, e.location(), e.problem());
        assertTrue(e.problem().contains(problem), e.problem());
        return e;
    }

    private void assertInvalidFile(String text, String location, String problem) {
        assertEquals(Code.OPERATOR_FILE, assertInvalid(text, location, problem).code());
    }

    private static String peers(int count) {
        return HEADER + "peers:\n"
                + IntStream.range(0, count)
                        .mapToObj(i -> "  - { id: p" + i + ", address: '127.0.0.1:" + (8_000 + i) + "' }\n")
                        .collect(Collectors.joining());
    }

    @Test
    void missingEntriesHaveDefaults() throws Exception {
        Peer peer = new Peer("b", new InetSocketAddress("127.0.0.1", 7002));
        InetSocketAddress listen = new InetSocketAddress("127.0.0.1", 7001);
        assertEquals(
                new OperatorFile("shelf", "a", listen, List.of(peer, new Peer("a", listen)), true, true, List.of(), ""),
                read(VALID));
        assertEquals(
                new OperatorFile("shelf", "b", listen, List.of(peer), false, false, List.of(), "kept"),
                read(VALID + "me: b\nshare: false\nstate: kept\n"));
        assertFalse(read(VALID + "share: false\n").needsPeers());
        assertFalse(read(VALID + "bandit: false\n").bandit());
        assertEquals(401, read(peers(400)).peers().size());
    }

    @Test
    void eachFieldIsValidated() {
        assertInvalidFile(VALID.replace("shelf", "' '"), ": cluster", "1 to 64 characters");
        assertInvalidFile(VALID.replaceAll("listen.*\n", ""), ": listen", "is missing");
        assertInvalidFile(HEADER, ": peers", "1 to 400");
        assertInvalidFile(peers(401), ": peers", "1 to 400");
        assertInvalidFile(VALID + "  - { id: b, address: '127.0.0.1:7003' }\n", ": peers[1].id", "is a duplicate: b");
        assertInvalidFile(
                VALID + "  - { id: c, address: '127.0.0.1:7002' }\n",
                ": peers[1].address",
                "is a duplicate: 127.0.0.1:7002");
        assertInvalidFile(VALID + "  - { id: c }\n", ": peers[1].address", "is missing");
        assertInvalidFile(
                VALID.replace("127.0.0.1:7002", "127.0.0.1"), "", "peers[0].address is not host:port: '127.0.0.1'");
        assertInvalidFile(VALID.replace("127.0.0.1:7001", "127.0.0.1:70000"), "", "listen is not host:port");
        assertInvalidFile(VALID + "share: false\nbandit: true\n", ": bandit", "needs share: true");
        assertInvalidFile(VALID + "experiments: [~]\n", ": experiments", "empty entry");
        assertInvalidFile(VALID + "experiments: [" + "{ name: e }, ".repeat(17) + "]\n", ": experiments", "16 at most");
    }

    @Test
    void parseErrorsNameTheLine() {
        assertInvalidFile(VALID + "colour: red\n", ":5", "colour: Unrecognized field");
        assertInvalidFile(VALID + "cluster: again\n", ":5", "Duplicate field 'cluster'");
        assertInvalidFile("colour: red\n" + VALID, ":1", "colour: Unrecognized field");
        assertInvalidFile(
                VALID + "  - id: c\n    port: 1\n    address: x\nshare: true\n",
                ":6",
                "peers[1].port: Unrecognized field");
        assertInvalidFile(VALID + "share:\n  maybe\n", ":6", "share: Cannot deserialize");
        assertInvalidFile("cluster: shelf\n@listen\n", ":2", "is not YAML");
        assertInvalidFile("", ":1", "No content");
        assertInvalidFile("~\n", "", "is empty");
        assertInvalidFile("#" + "x".repeat(1 << 20), "", "is over 1048576 bytes");
    }

    @Test
    void invalidExperimentIsReportedWithARemedy() {
        OperatorFileException e =
                assertInvalid(String.format(EXPERIMENT, "d", "1h"), ": experiments: e.lanes", "LANE_UNKNOWN: d");
        assertEquals(Code.EXPERIMENT, e.code());
        assertEquals("one of [c]. " + Code.EXPERIMENT.remedy(), e.remedy());
        assertInvalid(
                String.format(EXPERIMENT, "d", "1s"),
                ": experiments: e.longest",
                "LONGEST_OUT_OF_RANGE: PT1S (and 1 more)");
    }

    @ParameterizedTest
    @CsvSource({"90s,PT90S", "10m,PT10M", "12h,PT12H", "2d,PT48H", "PT12H,PT12H"})
    void durationsAreRead(String text, Duration expected) throws Exception {
        Experiment experiment =
                read(String.format(EXPERIMENT, "c", text)).experiments().get(0);
        assertEquals(expected, experiment.longest());
        assertEquals(Experiment.Unit.SESSION, experiment.unit());
    }

    @ParameterizedTest
    @CsvSource({"12", "12x", "-5m", "1.5h", "soon", "PTx"})
    void invalidDurationsAreRejected(String text) {
        assertInvalidFile(
                String.format(EXPERIMENT, "c", text),
                ":6",
                "experiments[0].longest: '" + text + "' is not a duration such as");
    }
}
