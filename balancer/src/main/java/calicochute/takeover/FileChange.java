package calicochute.takeover;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;

/** Detects whether a file has been replaced or changed since it was last read. Used by one thread. */
public final class FileChange {
    private final Path file;
    /** Identity, modification time and size of the file as last read; null if it has to be read again. */
    private Object lastReadKey;

    public FileChange(Path file) {
        this.file = file;
    }

    /** Whether the file exists and differs from the one that was last read; it then counts as read. */
    public boolean unread() throws IOException {
        try {
            BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
            Object key = attributes.fileKey() + " " + attributes.lastModifiedTime() + " " + attributes.size();
            boolean changed = !key.equals(lastReadKey);
            lastReadKey = key;
            return changed;
        } catch (NoSuchFileException e) {
            lastReadKey = null;
            return false;
        }
    }

    /** Whether a file was read that has not been found missing since. */
    public boolean wasRead() {
        return lastReadKey != null;
    }

    /** Has the file read again. */
    public void forget() {
        lastReadKey = null;
    }
}
