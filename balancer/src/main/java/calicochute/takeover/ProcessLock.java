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
 * Detects whether another process of this balancer is alive. Each process holds an operating system lock on a file of
 * its own in the shared folder. The lock is released when the process ends, in whatever way, and the next process that
 * finds the file unlocked deletes it.
 */
public final class ProcessLock {
    private static final String SUFFIX = ".life.";
    private final Path ownFile;
    /** Glob pattern of the lock files' names. */
    private final String pattern;
    /** Held until the process ends; null if there is no shared folder or the lock could not be taken. */
    private final FileLock ownLock;

    /** @param shared the folder that the processes share; null if this process is the only one */
    public ProcessLock(SharedFolder shared) {
        ownFile = shared == null
                ? null
                : shared.file(SUFFIX + ProcessHandle.current().pid());
        pattern = shared == null ? null : shared.file(SUFFIX).getFileName() + "*";
        ownLock = shared == null ? null : lockOwnFile();
    }

    private FileLock lockOwnFile() {
        try {
            FileChannel channel = FileChannel.open(ownFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            return channel.tryLock();
        } catch (IOException e) {
            Log.warn("life-not-shown", String.valueOf(e.getMessage()));
            return null;
        }
    }

    /** Whether another process of this balancer is alive. */
    public boolean otherProcessAlive() {
        if (ownFile == null) {
            return false;
        }
        boolean found = false;
        try (DirectoryStream<Path> files = Files.newDirectoryStream(ownFile.getParent(), pattern)) {
            for (Path file : files) {
                // The own file is never opened again: closing that descriptor would release the lock (POSIX).
                found |= !file.equals(ownFile) && locked(file);
            }
        } catch (IOException e) {
            Log.warn("lives-not-seen", String.valueOf(e.getMessage()));
        }
        return found;
    }

    /** Whether a process holds the file's lock; deletes the file if none does. */
    private static boolean locked(Path file) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE);
                FileLock lock = channel.tryLock()) {
            if (lock == null) {
                return true;
            }
            Files.deleteIfExists(file);
            return false;
        }
    }
}
