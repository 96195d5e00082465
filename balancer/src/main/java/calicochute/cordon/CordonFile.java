package calicochute.cordon;

import calicochute.metrics.Log;
import calicochute.takeover.FileChange;
import calicochute.takeover.SharedFolder;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
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
    private final FileChange change;
    private Cordons current = Cordons.NONE;
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
        change = shared == null ? null : new FileChange(file);
    }

    /** The cordons in the file. If it is missing, truncated or another balancer's, those last known stay in force. */
    public Cordons read() throws IOException {
        if (file == null) {
            return current;
        }
        if (change.unread()) {
            Cordons read = parse();
            unusable = read == null;
            if (unusable) {
                Log.warn(
                        "outages-not-used",
                        file.getFileName() + " is truncated or does not belong to " + balancer + " at tier " + tier
                                + "; servers that stay cordoned: "
                                + current.sinceMs().keySet());
            }
            current = read == null ? current : read;
        }
        return current;
    }

    private Cordons parse() throws IOException {
        try {
            return Cordons.parse(Files.readString(file), balancer, tier);
        } catch (IOException e) {
            change.forget();
            throw e;
        }
    }

    /** Changes the cordons of all processes; they are in the file when this returns. */
    public Cordons update(UnaryOperator<Cordons> operator) throws IOException {
        if (file == null) {
            current = operator.apply(current);
            return current;
        }
        try (FileChannel channel = FileChannel.open(lockFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
                FileLock lock = channel.lock()) {
            assert lock.isValid();
            Cordons next = operator.apply(read());
            // An unchanged set is written too if the file does not hold it: the operator is told that the file does.
            if (!next.equals(current) || !change.wasRead() || unusable) {
                SharedFolder.replace(file, next.toJson(balancer, tier));
                current = next;
                change.forget();
            }
            return current;
        }
    }
}
