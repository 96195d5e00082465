package calicochute.fleet;

import calicochute.errors.Code;
import calicochute.metrics.Log;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.zip.CRC32C;
import org.apache.hc.core5.concurrent.DefaultThreadFactory;

/**
 * What outlives a process, a small file for each name, written whole or not at all on a thread of its own: a new file
 * is forced to the disk and then takes the old one's name. Each begins with a mark, a version and a checksum, into
 * which whose state it is goes as well; what lacks them is left as it is.
 */
final class StateFolder {
    private static final int MARK = 0xCA11C0DE;
    private static final int VERSION = 2;
    /**
     * Its checksum did not hold the owner. Still read: a voter that forgot over an upgrade what it had promised could
     * promise twice.
     */
    private static final int OWNERLESS = 1;

    private static final int HEAD = 16;
    private static final int LONGEST = 1 << 16;
    private final Path folder;
    private final String cluster;
    private final String owner;
    private final ExecutorService writer =
            Executors.newSingleThreadExecutor(new DefaultThreadFactory("fleet-state", true));

    /**
     * @param cluster the fleet's name: the state of one is nothing to another
     * @param owner the balancer's name: two may share a folder, never a file
     */
    StateFolder(Path folder, String cluster, String owner) {
        this.folder = folder;
        this.cluster = cluster;
        this.owner = owner;
    }

    private Path file(String name) {
        return folder.resolve(readable(owner) + "." + readable(name) + ".state");
    }

    /** Told apart where letters have to be replaced, by the hash of the whole. */
    private static String readable(String name) {
        String plain = name.replaceAll("[^A-Za-z0-9_-]", "_");
        return plain.equals(name) ? plain : plain + "-" + Integer.toHexString(name.hashCode());
    }

    /**
     * What was kept last under the name; null if nothing was, or nothing that can be used. Only at the start: it reads
     * the disk.
     */
    byte[] read(String name) {
        Path file = file(name);
        try {
            if (Files.size(file) > LONGEST + HEAD) {
                throw new FleetException(Code.STATE_FOREIGN, file.toString(), "is longer than any state");
            }
            ByteBuffer all = ByteBuffer.wrap(Files.readAllBytes(file));
            int version = all.remaining() < HEAD || all.getInt() != MARK ? 0 : all.getInt();
            if (version != VERSION && version != OWNERLESS) {
                throw new FleetException(Code.STATE_FOREIGN, file.toString(), "is no state of this version");
            }
            long sum = all.getLong();
            byte[] state = new byte[all.remaining()];
            all.get(state);
            if (sum != sum(version, name, state)) {
                throw new FleetException(
                        Code.STATE_FOREIGN, file.toString(), "is torn, or of another name, balancer or cluster");
            }
            return state;
        } catch (NoSuchFileException e) {
            return null;
        } catch (IOException e) {
            Log.warn(
                    "state-not-used",
                    new FleetException(Code.STATE_FOLDER, file.toString(), "cannot be read: " + e).text());
            return null;
        } catch (FleetException e) {
            Log.warn("state-not-used", e.text());
            return null;
        }
    }

    /** {@code kept} runs on the writer's thread once the state is on the disk; never if it can't be written. */
    void write(String name, byte[] state, Runnable kept) {
        writer.execute(() -> {
            Path file = file(name);
            Path fresh = file.resolveSibling(file.getFileName() + ".new");
            try {
                Files.createDirectories(folder);
                try (FileChannel out = FileChannel.open(
                        fresh,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING,
                        StandardOpenOption.WRITE)) {
                    ByteBuffer all = ByteBuffer.allocate(HEAD + state.length)
                            .putInt(MARK)
                            .putInt(VERSION)
                            .putLong(sum(VERSION, name, state))
                            .put(state)
                            .flip();
                    while (all.hasRemaining()) {
                        out.write(all);
                    }
                    out.force(true);
                }
                Files.move(fresh, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
                kept.run();
            } catch (IOException e) {
                Log.warn(
                        "state-not-written",
                        new FleetException(Code.STATE_FOLDER, file.toString(), String.valueOf(e)).text());
            }
        });
    }

    private long sum(int version, String name, byte[] state) {
        CRC32C sum = new CRC32C();
        if (version != OWNERLESS) {
            // With a length, so that no two owners read alike.
            sum.update((cluster.length() + " " + cluster + owner + "\n").getBytes(StandardCharsets.UTF_8));
        }
        sum.update(name.getBytes(StandardCharsets.UTF_8));
        sum.update(state);
        return sum.getValue();
    }
}
