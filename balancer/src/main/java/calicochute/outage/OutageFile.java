package calicochute.outage;

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
 * The one place where the operators' word stands for all processes of a balancer: a file written beside and renamed,
 * changed under an OS file lock. Without a folder the word is kept in memory alone. All on one thread.
 */
public final class OutageFile {
    private final String balancer;
    private final int tier;
    private final Path file;
    private final Path lock;
    private Outages held = Outages.NONE;
    private Object seenKey;
    /** What the file says now is not this balancer's word. */
    private boolean unusable;

    /**
     * @param shared the folder that the processes share, or null
     * @param tier of the balancer
     */
    public OutageFile(SharedFolder shared, int tier) {
        balancer = shared == null ? "" : shared.balancer();
        this.tier = tier;
        file = shared == null ? null : shared.file(".out");
        lock = shared == null ? null : shared.file(".out.lock");
    }

    /** What the file says now; what it said last where it is missing, torn or foreign. */
    public Outages read() throws IOException {
        if (file == null) {
            return held;
        }
        try {
            BasicFileAttributes now = Files.readAttributes(file, BasicFileAttributes.class);
            Object key = now.fileKey() + " " + now.lastModifiedTime() + " " + now.size();
            if (!key.equals(seenKey)) {
                Outages read = Outages.parse(Files.readString(file), balancer, tier);
                unusable = read == null;
                if (unusable) {
                    Log.warn(
                            "outages-not-used",
                            file.getFileName() + " is torn, or not of " + balancer + " at tier " + tier + ": held are "
                                    + held.since().keySet());
                }
                held = read == null ? held : read;
                seenKey = key;
            }
        } catch (NoSuchFileException e) {
            seenKey = null;
        }
        return held;
    }

    /** Changes the operators' word for all processes; when this returns, the file says so. */
    public Outages change(UnaryOperator<Outages> how) throws IOException {
        if (file == null) {
            held = how.apply(held);
            return held;
        }
        try (FileChannel channel = FileChannel.open(lock, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
                FileLock ours = channel.lock()) {
            assert ours.isValid();
            Outages next = how.apply(read());
            // Also where nothing changes but the file does not say so: the caller is about to be told that it does.
            if (!next.equals(held) || seenKey == null || unusable) {
                SharedFolder.replace(file, next.text(balancer, tier));
                held = next;
                seenKey = null;
            }
            return held;
        }
    }
}
