package calicochute.cordon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.takeover.SharedFolder;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Ownership of the cordon file, files of an earlier version, recovery of truncated files, and file names. */
class CordonFileTest {
    private static final Cordons CORDON = Cordons.NONE.with("s1", 5);

    @TempDir
    private Path folder;

    private CordonFile cordonFile(String balancer, int tier) {
        return new CordonFile(new SharedFolder(folder, balancer), tier);
    }

    private Path onlyFile() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            List<Path> found =
                    files.filter(path -> path.toString().endsWith(".out")).toList();
            assertEquals(1, found.size());
            return found.get(0);
        }
    }

    /**
     * A file with the right name that another balancer or another tier wrote cordons no server. The first update
     * replaces it.
     */
    @Test
    void cordonsOfAnotherOwnerAreIgnored() throws Exception {
        cordonFile("n1", 0).update(cordons -> CORDON);
        Files.move(onlyFile(), folder.resolve("calicochute-n0.out"));
        assertEquals(Cordons.NONE, cordonFile("n0", 0).read());
        CordonFile otherTier = cordonFile("n0", 1);
        otherTier.update(cordons -> CORDON);
        assertEquals(CORDON, cordonFile("n0", 1).read());
        assertEquals(Cordons.NONE, cordonFile("n0", 0).read());
    }

    /** A version that wrote no balancer name into the file may have cordoned a server just before the upgrade. */
    @Test
    void cordonOfAnEarlierVersionStaysInForce() throws Exception {
        Files.writeString(
                folder.resolve("calicochute-n0.out"), "{\"version\":1,\"out\":[{\"id\":\"s1\",\"sinceMs\":5}]}");
        assertEquals(CORDON, cordonFile("n0", 3).read());
    }

    /** An update that changes nothing must still rewrite the file if it has been truncated in the meantime. */
    @Test
    void updateRewritesATruncatedFile() throws Exception {
        CordonFile file = cordonFile("n0", 0);
        file.update(cordons -> CORDON);
        Files.writeString(onlyFile(), "{\"version\":1,\"out\":[{");
        assertEquals(CORDON, file.update(cordons -> cordons.with("s1", 9)));
        assertEquals(CORDON, cordonFile("n0", 0).read());
    }

    @Test
    void balancersWithSimilarNamesHaveDifferentFiles() {
        SharedFolder slash = new SharedFolder(folder, "a/b");
        assertFalse(slash.file(".out").equals(new SharedFolder(folder, "a_b").file(".out")));
        assertFalse(slash.file(".out").equals(new SharedFolder(folder, "a:b").file(".out")));
        assertTrue(slash.file(".out").getParent().equals(folder));
    }
}
