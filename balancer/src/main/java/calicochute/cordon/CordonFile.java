package calicochute.cordon;

import calicochute.metrics.Log;
import calicochute.takeover.SharedFolder;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.function.UnaryOperator;

/**
 * The file that holds the cordons for all processes of a balancer. It is updated under an operating system lock and
 * replaced atomically. Without a shared folder the cordons are kept in memory only. Used by one thread.
 */
public final class CordonFile {
    private final String balancer;
    private final int tier;
    private final Path file;
    private final Path lockFile;
    private Cordons current = Cordons.NONE;
    /** Identity, modification time and size of the file as last read; null if it has to be read again. */
    private Object lastReadKey;
    /** The file as last read is truncated or belongs to another balancer. */
    private boolean unusable;

    /**
     * @param shared the folder that the processes share, or null
     * @param tier of the balancer
     */
    public CordonFile(SharedFolder shared, int tier) {
        balancer = shared == null ? "" : shared.balancer();
        this.tier = tier;
        file = shared == null ? null : shared.file(".out");
        lockFile = shared == null ? null : shared.file(".out.lock");
    }

    /** The cordons in the file. If it is missing, truncated or another balancer's, those last known stay in force. */
    public Cordons read() throws IOException {
        if (file == null) {
            return current;
        }
        try {
            BasicFileAttributes attributes = Files.readAttributes(file, BasicFileAttributes.class);
            Object key = attributes.fileKey() + " " + attributes.lastModifiedTime() + " " + attributes.size();
            if (!key.equals(lastReadKey)) {
                Cordons read = Cordons.parse(Files.readString(file), balancer, tier);
                unusable = read == null;
                if (unusable) {
                    Log.warn(
                            "outages-not-used",
                            file.getFileName() + " is truncated or does not belong to " + balancer + " at tier " + tier
                                    + "; servers that stay cordoned: "
                                    + current.sinceMs().keySet());
                }
                current = read == null ? current : read;
                lastReadKey = key;
            }
        } catch (NoSuchFileException e) {
            lastReadKey = null;
        }
        return current;
    }

    /** Changes the cordons of all processes; they are in the file when this returns. */
    public Cordons update(UnaryOperator<Cordons> change) throws IOException {
        if (file == null) {
            current = change.apply(current);
            return current;
        }
        try (FileChannel channel = FileChannel.open(lockFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
                FileLock lock = channel.lock()) {
            assert lock.isValid();
            Cordons next = change.apply(read());
            // An unchanged set is written too if the file does not hold it: the operator is told that the file does.
            if (!next.equals(current) || lastReadKey == null || unusable) {
                SharedFolder.replace(file, next.toJson(balancer, tier));
                current = next;
                lastReadKey = null;
            }
            return current;
        }
    }
}
