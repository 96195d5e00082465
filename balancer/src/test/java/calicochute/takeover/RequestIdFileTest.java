package calicochute.takeover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class RequestIdFileTest {
    private static final long RETENTION_MICROS = 1000;

    @TempDir
    Path folder;

    private long nowNanos = 1_000_000_000;

    private RequestIdFile open() {
        return new RequestIdFile(new SharedFolder(folder, "n0"), RETENTION_MICROS, () -> nowNanos);
    }

    private static String id(long number) {
        return String.format("%016x", number);
    }

    @Test
    void otherProcessSeesAnIdForAWhile() {
        RequestIdFile first = open();
        RequestIdFile second = open();
        assertFalse(second.contains(id(-1)));
        first.add(id(-1));
        assertTrue(second.contains(id(-1)));
        assertTrue(second.contains(id(-1).toUpperCase(java.util.Locale.ROOT)));
        assertFalse(second.contains(id(1)));
        nowNanos += RETENTION_MICROS * 1000;
        assertFalse(second.contains(id(-1)));
    }

    /** The file stays small, and recent ids are found however many came before. */
    @Test
    void fileIsBounded() throws IOException {
        RequestIdFile ids = open();
        for (int i = 0; i < 100_000; i++) {
            ids.add(id(i));
            nowNanos++;
        }
        int found = 0;
        for (int i = 96_000; i < 100_000; i++) {
            found += ids.contains(id(i)) ? 1 : 0;
        }
        assertEquals(4000, found);
        assertTrue(Files.size(folder.resolve("calicochute-n0.ids")) <= 1 << 18);
    }

    /** A file cut short by a kill, one of an earlier run of the system, and a folder that cannot be used. */
    @Test
    void damageIsTolerated() throws IOException {
        RequestIdFile ids = open();
        ids.add(id(7));
        Path file = folder.resolve("calicochute-n0.ids");
        byte[] content = Files.readAllBytes(file);
        Files.write(file, Arrays.copyOf(content, content.length - 3));
        open().contains(id(7));
        open().add(id(7));
        assertTrue(open().contains(id(7)));
        nowNanos -= 1000;
        assertFalse(open().contains(id(7)), "written by a clock that is ahead");
        Files.delete(file);
        Files.createDirectory(file);
        RequestIdFile unusable = open();
        unusable.add(id(8));
        assertFalse(unusable.contains(id(8)));
        Files.delete(file);
        unusable.add(id(8));
        assertTrue(unusable.contains(id(8)), "tried again");
    }
}
