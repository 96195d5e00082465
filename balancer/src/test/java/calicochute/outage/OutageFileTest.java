package calicochute.outage;

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

class OutageFileTest {
    private static final Outages BAN = Outages.NONE.with("s1", 5);

    @TempDir
    private Path folder;

    private OutageFile of(String balancer, int tier) {
        return new OutageFile(new SharedFolder(folder, balancer), tier);
    }

    private Path only() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            List<Path> found = files.filter(f -> f.toString().endsWith(".out")).toList();
            assertEquals(1, found.size());
            return found.get(0);
        }
    }

    /**
     * A file under the right name that another balancer wrote, or one of another tier, bans nobody; it is replaced by
     * the first call.
     */
    @Test
    void anotherOwnersBansAreNotTaken() throws Exception {
        of("n1", 0).change(o -> BAN);
        Files.move(only(), folder.resolve("calicochute-n0.out"));
        assertEquals(Outages.NONE, of("n0", 0).read());
        OutageFile own = of("n0", 1);
        own.change(o -> BAN);
        assertEquals(BAN, of("n0", 1).read());
        assertEquals(Outages.NONE, of("n0", 0).read());
    }

    /** A version that did not write its name may have banned a server just before the upgrade. */
    @Test
    void aBanOfAnEarlierVersionHolds() throws Exception {
        Files.writeString(
                folder.resolve("calicochute-n0.out"), "{\"version\":1,\"out\":[{\"id\":\"s1\",\"sinceMs\":5}]}");
        assertEquals(BAN, of("n0", 3).read());
    }

    /** A call that changes nothing is told as done only once the file says so again: here it was torn meanwhile. */
    @Test
    void aCallMendsATornFile() throws Exception {
        OutageFile file = of("n0", 0);
        file.change(o -> BAN);
        Files.writeString(only(), "{\"version\":1,\"out\":[{");
        assertEquals(BAN, file.change(o -> o.with("s1", 9)));
        assertEquals(BAN, of("n0", 0).read());
    }

    @Test
    void noTwoBalancersShareAFile() {
        SharedFolder slash = new SharedFolder(folder, "a/b");
        assertFalse(slash.file(".out").equals(new SharedFolder(folder, "a_b").file(".out")));
        assertFalse(slash.file(".out").equals(new SharedFolder(folder, "a:b").file(".out")));
        assertTrue(slash.file(".out").getParent().equals(folder));
    }
}
