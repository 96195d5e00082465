package calicochute.fleet;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class StateFolderTest {
    private static final int LONGEST = 1 << 16;

    @TempDir
    private Path root;

    private Path folder;

    @BeforeEach
    void name() {
        folder = root.resolve("not/there/yet");
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private void write(String owner, String name, byte[] state) throws Exception {
        CompletableFuture<Boolean> kept = new CompletableFuture<>();
        new StateFolder(folder, "ours", owner).write(name, state, () -> kept.complete(true));
        kept.get(30, TimeUnit.SECONDS);
    }

    private byte[] read(String owner, String name) {
        return new StateFolder(folder, "ours", owner).read(name);
    }

    /** Bytes of the file of name "n" are put there, and can't be used. */
    private void leftAsItIs(byte[] all) throws Exception {
        Path file = Files.write(folder.resolve("me.n.state"), all);
        assertNull(read("me", "n"));
        assertArrayEquals(all, Files.readAllBytes(file));
    }

    @Test
    void whatWasKeptLastIsReadBack() throws Exception {
        assertNull(read("me", "n"));
        write("me", "n", bytes("a first and longer one"));
        write("me", "n", bytes("second"));
        assertArrayEquals(bytes("second"), read("me", "n"));
        try (Stream<Path> files = Files.list(folder)) {
            assertEquals(
                    List.of("me.n.state"),
                    files.map(f -> f.getFileName().toString()).toList());
        }
        write("me", "n", new byte[LONGEST]);
        assertEquals(LONGEST, read("me", "n").length);
    }

    @Test
    void eachOwnerAndNameHasItsFile() throws Exception {
        List<List<String>> all =
                List.of(List.of("me", "a/b"), List.of("me", "a_b"), List.of("me", "a.b"), List.of("../me", "a/b"));
        for (List<String> one : all) {
            write(one.get(0), one.get(1), bytes(one.toString()));
        }
        for (List<String> one : all) {
            assertArrayEquals(bytes(one.toString()), read(one.get(0), one.get(1)));
        }
    }

    @Test
    void whatIsNotItsOwnIsLeftAsItIs() throws Exception {
        write("me", "n", bytes("state"));
        byte[] good = Files.readAllBytes(folder.resolve("me.n.state"));
        for (int i = 0; i < good.length; i++) {
            byte[] spoilt = good.clone();
            spoilt[i] ^= 1;
            leftAsItIs(spoilt);
            leftAsItIs(java.util.Arrays.copyOf(good, i));
        }
        write("me", "other", bytes("state"));
        leftAsItIs(Files.readAllBytes(folder.resolve("me.other.state")));
        write("me", "n", new byte[LONGEST + 1]);
        leftAsItIs(Files.readAllBytes(folder.resolve("me.n.state")));
    }

    /**
     * Copied under this balancer's file name, or kept by one of the same name in another cluster: promises that it
     * never made.
     */
    @Test
    void anotherBalancersStateIsNotTaken() throws Exception {
        write("you", "n", bytes("state"));
        leftAsItIs(Files.readAllBytes(folder.resolve("you.n.state")));
        write("me", "n", bytes("state"));
        assertNull(new StateFolder(folder, "theirs", "me").read("n"));
        assertArrayEquals(bytes("state"), read("me", "n"));
    }

    /** Written by an earlier version, which kept no owner: a voter must not forget over an upgrade. */
    @Test
    void stateOfTheVersionBeforeIsStillRead() throws Exception {
        java.util.zip.CRC32C sum = new java.util.zip.CRC32C();
        sum.update(bytes("n" + "state"));
        Files.createDirectories(folder);
        Files.write(
                folder.resolve("me.n.state"),
                java.nio.ByteBuffer.allocate(21)
                        .putInt(0xCA11C0DE)
                        .putInt(1)
                        .putLong(sum.getValue())
                        .put(bytes("state"))
                        .array());
        assertArrayEquals(bytes("state"), read("me", "n"));
    }

    @Test
    void whatIsNotOnTheDiskIsNotSaidToBe() throws Exception {
        CompletableFuture<String> said = new CompletableFuture<>();
        PrintStream before = System.out;
        System.setOut(new PrintStream(
                new ByteArrayOutputStream() {
                    @Override
                    public void flush() {
                        String text = toString(StandardCharsets.UTF_8);
                        if (text.contains("state-not-written")) {
                            said.complete(text);
                        }
                    }
                },
                true,
                StandardCharsets.UTF_8));
        CompletableFuture<Boolean> kept = new CompletableFuture<>();
        try {
            folder = Files.writeString(root.resolve("file"), "no folder").resolve("below");
            new StateFolder(folder, "ours", "me").write("n", bytes("state"), () -> kept.complete(true));
            assertTrue(said.get(30, TimeUnit.SECONDS).contains("C504"));
        } finally {
            System.setOut(before);
        }
        assertFalse(kept.isDone());
    }
}
