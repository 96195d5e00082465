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

/**
 * Guards against a damaged or foreign state file that is used, and against a state reported as saved before it is on
 * the disk: either could make a balancer contradict its earlier votes.
 */
class StateFolderTest {
    private static final int MAX_STATE_BYTES = 1 << 16;

    @TempDir
    private Path root;

    private Path folder;

    @BeforeEach
    void setFolder() {
        folder = root.resolve("not/there/yet");
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private void write(String owner, String name, byte[] state) throws Exception {
        CompletableFuture<Boolean> saved = new CompletableFuture<>();
        new StateFolder(folder, "ours", owner).write(name, state, () -> saved.complete(true));
        saved.get(30, TimeUnit.SECONDS);
    }

    private byte[] read(String owner, String name) {
        return new StateFolder(folder, "ours", owner).read(name);
    }

    /** Writes the file of the name "n" and checks that it is neither used nor changed. */
    private void assertUnusedAndUnchanged(byte[] content) throws Exception {
        Path file = Files.write(folder.resolve("me.n.state"), content);
        assertNull(read("me", "n"));
        assertArrayEquals(content, Files.readAllBytes(file));
    }

    @Test
    void lastSavedStateIsRead() throws Exception {
        assertNull(read("me", "n"));
        write("me", "n", bytes("a first and longer one"));
        write("me", "n", bytes("second"));
        assertArrayEquals(bytes("second"), read("me", "n"));
        try (Stream<Path> files = Files.list(folder)) {
            assertEquals(
                    List.of("me.n.state"),
                    files.map(f -> f.getFileName().toString()).toList());
        }
        write("me", "n", new byte[MAX_STATE_BYTES]);
        assertEquals(MAX_STATE_BYTES, read("me", "n").length);
    }

    @Test
    void eachOwnerAndNameHasItsOwnFile() throws Exception {
        List<List<String>> ownersAndNames =
                List.of(List.of("me", "a/b"), List.of("me", "a_b"), List.of("me", "a.b"), List.of("../me", "a/b"));
        for (List<String> ownerAndName : ownersAndNames) {
            write(ownerAndName.get(0), ownerAndName.get(1), bytes(ownerAndName.toString()));
        }
        for (List<String> ownerAndName : ownersAndNames) {
            assertArrayEquals(bytes(ownerAndName.toString()), read(ownerAndName.get(0), ownerAndName.get(1)));
        }
    }

    @Test
    void invalidFilesAreNeitherUsedNorChanged() throws Exception {
        write("me", "n", bytes("state"));
        byte[] good = Files.readAllBytes(folder.resolve("me.n.state"));
        for (int i = 0; i < good.length; i++) {
            byte[] damaged = good.clone();
            damaged[i] ^= 1;
            assertUnusedAndUnchanged(damaged);
            assertUnusedAndUnchanged(java.util.Arrays.copyOf(good, i));
        }
        write("me", "other", bytes("state"));
        assertUnusedAndUnchanged(Files.readAllBytes(folder.resolve("me.other.state")));
        write("me", "n", new byte[MAX_STATE_BYTES + 1]);
        assertUnusedAndUnchanged(Files.readAllBytes(folder.resolve("me.n.state")));
    }

    /**
     * A file copied from another balancer, or written by a balancer of the same name in another cluster, holds promises
     * that this balancer never made.
     */
    @Test
    void stateOfAnotherBalancerIsNotUsed() throws Exception {
        write("you", "n", bytes("state"));
        assertUnusedAndUnchanged(Files.readAllBytes(folder.resolve("you.n.state")));
        write("me", "n", bytes("state"));
        assertNull(new StateFolder(folder, "theirs", "me").read("n"));
        assertArrayEquals(bytes("state"), read("me", "n"));
    }

    /** Version 1 had no owner in the checksum. It is read because a voter must not lose its promises in an upgrade. */
    @Test
    void stateOfVersion1IsRead() throws Exception {
        java.util.zip.CRC32C checksum = new java.util.zip.CRC32C();
        checksum.update(bytes("n" + "state"));
        Files.createDirectories(folder);
        Files.write(
                folder.resolve("me.n.state"),
                java.nio.ByteBuffer.allocate(21)
                        .putInt(0xCA11C0DE)
                        .putInt(1)
                        .putLong(checksum.getValue())
                        .put(bytes("state"))
                        .array());
        assertArrayEquals(bytes("state"), read("me", "n"));
    }

    @Test
    void failedWriteIsLoggedAndNotReportedAsSaved() throws Exception {
        CompletableFuture<String> logged = new CompletableFuture<>();
        PrintStream before = System.out;
        System.setOut(new PrintStream(
                new ByteArrayOutputStream() {
                    @Override
                    public void flush() {
                        String text = toString(StandardCharsets.UTF_8);
                        if (text.contains("state-not-written")) {
                            logged.complete(text);
                        }
                    }
                },
                true,
                StandardCharsets.UTF_8));
        CompletableFuture<Boolean> saved = new CompletableFuture<>();
        try {
            folder = Files.writeString(root.resolve("file"), "no folder").resolve("below");
            new StateFolder(folder, "ours", "me").write("n", bytes("state"), () -> saved.complete(true));
            assertTrue(logged.get(30, TimeUnit.SECONDS).contains("C504"));
        } finally {
            System.setOut(before);
        }
        assertFalse(saved.isDone());
    }
}
