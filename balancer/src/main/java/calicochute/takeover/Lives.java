package calicochute.takeover;

import calicochute.metrics.Log;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Tells whether another process of this balancer lives. Each holds an OS lock on a file of its own in the folder that
 * they share; the lock falls free with the process, however that ends, and the file is then removed by whoever finds
 * it.
 */
public final class Lives {
    private static final String LIFE = ".life.";
    private final Path mine;
    private final String pattern;
    /** Held until the process ends; null if this process can't show the others that it lives. */
    private final FileLock held;

    /** @param shared the folder that the processes share, or null: then there is never another one */
    public Lives(SharedFolder shared) {
        mine = shared == null
                ? null
                : shared.file(LIFE + ProcessHandle.current().pid());
        pattern = shared == null ? null : shared.file(LIFE).getFileName() + "*";
        held = shared == null ? null : hold();
    }

    private FileLock hold() {
        try {
            FileChannel channel = FileChannel.open(mine, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            return channel.tryLock();
        } catch (IOException e) {
            Log.warn("life-not-shown", String.valueOf(e.getMessage()));
            return null;
        }
    }

    /** True while another process of this balancer lives. */
    public boolean other() {
        if (mine == null) {
            return false;
        }
        boolean found = false;
        try (DirectoryStream<Path> files = Files.newDirectoryStream(mine.getParent(), pattern)) {
            for (Path file : files) {
                // Never this process's own: closing a second descriptor of it would drop the lock.
                found |= !file.equals(mine) && locked(file);
            }
        } catch (IOException e) {
            Log.warn("lives-not-seen", String.valueOf(e.getMessage()));
        }
        return found;
    }

    private static boolean locked(Path file) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE);
                FileLock free = channel.tryLock()) {
            if (free == null) {
                return true;
            }
            Files.deleteIfExists(file);
            return false;
        }
    }
}
