package calicochute.takeover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import calicochute.discovery.ServerList;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Order of writes, ownership and damage of the file with the server list. */
class ServerListFileTest {
    private static final String LIST = "{\"generation\":%d,\"reset\":true,\"instances\":["
            + "{\"instanceId\":\"s1\",\"hostPort\":\"10.0.0.1:90\",\"zone\":\"a\",\"machineType\":\"m\",\"cell\":3,"
            + "\"lifecycle\":\"Terminating\",\"weight\":0.5,\"startedAtMs\":1700000000123},"
            + "{\"instanceId\":\"s2\",\"hostPort\":\"[::1]:91\",\"lifecycle\":\"Ready\"}]}";

    @TempDir
    private Path folder;

    private ServerListFile file(int tier, String... tenants) {
        ListOrigin origin = new ListOrigin("n0", tier, "/127.0.0.1:80", new TreeSet<>(List.of(tenants)));
        return new ServerListFile(new SharedFolder(folder, "n0"), origin);
    }

    private static SavedServerList saved(long epoch, long generation) throws Exception {
        ServerList list = ServerList.parse(String.format(LIST, generation));
        return new SavedServerList(new ListVersion(epoch, generation), generation, "d:1", 5, 17, list);
    }

    private Path path() {
        return folder.resolve("calicochute-n0.list");
    }

    @Test
    void whatWasSavedIsRead() throws Exception {
        assertTrue(file(0, "library").offer(saved(1, 7)));
        ServerListFile reader = file(0, "library");
        assertEquals(saved(1, 7), reader.readIfChanged());
        assertNull(reader.readIfChanged());
    }

    @Test
    void anOlderListNeverReplacesANewerOne() throws Exception {
        ServerListFile first = file(0, "library");
        ServerListFile second = file(0, "library");
        first.offer(saved(1, 3));
        second.offer(saved(0, 41));
        second.offer(saved(1, 2));
        assertEquals(saved(1, 3), file(0, "library").readIfChanged());
        second.offer(saved(1, 4));
        assertEquals(saved(1, 4), first.readIfChanged());
    }

    @Test
    void theListOfAnotherDeploymentIsNotRead() throws Exception {
        file(0, "library", "archive").offer(saved(0, 7));
        assertNull(file(1, "library").readIfChanged());
        assertNull(file(0, "museum").readIfChanged());
        assertEquals(saved(0, 7), file(0, "library", "museum").readIfChanged());
    }

    /** A file that is cut anywhere, or altered, is not used, and is replaced by the next list. */
    @Test
    void aDamagedFileIsNotRead() throws Exception {
        file(0, "library").offer(saved(0, 7));
        String text = Files.readString(path());
        for (int length = 0; length < text.length() - 1; length += 7) {
            Files.writeString(path(), text.substring(0, length));
            assertNull(file(0, "library").readIfChanged(), "cut at " + length);
        }
        Files.writeString(path(), text.replace("Terminating", "Ready"));
        assertNull(file(0, "library").readIfChanged());
        file(0, "library").offer(saved(0, 1));
        assertEquals(saved(0, 1), file(0, "library").readIfChanged());
    }
}
