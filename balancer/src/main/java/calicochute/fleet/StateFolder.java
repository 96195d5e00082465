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
 * State that survives a restart, in one small file per name. A file is replaced atomically on a separate thread: a new
 * file is forced to the disk and then renamed. It starts with a magic number, a version and a checksum that also covers
 * the owner and the name; a file without a valid header is neither used nor changed.
 */
final class StateFolder {
    private static final int MAGIC = 0xCA11C0DE;
    private static final int VERSION = 2;
    /**
     * A version whose checksum does not cover the owner. It is still read: a voter that lost its promises in an upgrade
     * could make conflicting ones.
     */
    private static final int VERSION_WITHOUT_OWNER = 1;

    private static final int HEADER_BYTES = 16;
    private static final int MAX_STATE_BYTES = 1 << 16;
    private final Path folder;
    private final String cluster;
    private final String owner;
    private final ExecutorService writer =
            Executors.newSingleThreadExecutor(new DefaultThreadFactory("fleet-state", true));

    /**
     * @param cluster name of the fleet; state of another fleet is not used
     * @param owner name of the balancer; balancers may share a folder but not a file
     */
    StateFolder(Path folder, String cluster, String owner) {
        this.folder = folder;
        this.cluster = cluster;
        this.owner = owner;
    }

    private Path file(String name) {
        return folder.resolve(fileNamePart(owner) + "." + fileNamePart(name) + ".state");
    }

    /** The name as part of a file name; if characters are replaced, a hash of the name keeps it unique. */
    private static String fileNamePart(String name) {
        String plain = name.replaceAll("[^A-Za-z0-9_-]", "_");
        return plain.equals(name) ? plain : plain + "-" + Integer.toHexString(name.hashCode());
    }

    /**
     * The state saved last under the name; null if there is none that can be used. It reads the disk and blocks, so it
     * may only be called at the start.
     */
    byte[] read(String name) {
        Path file = file(name);
        try {
            if (Files.size(file) > MAX_STATE_BYTES + HEADER_BYTES) {
                throw new FleetException(Code.STATE_FOREIGN, file.toString(), "is too long for a state file");
            }
            ByteBuffer all = ByteBuffer.wrap(Files.readAllBytes(file));
            int version = all.remaining() < HEADER_BYTES || all.getInt() != MAGIC ? 0 : all.getInt();
            if (version != VERSION && version != VERSION_WITHOUT_OWNER) {
                throw new FleetException(
                        Code.STATE_FOREIGN, file.toString(), "is not a state file of a supported version");
            }
            long checksum = all.getLong();
            byte[] state = new byte[all.remaining()];
            all.get(state);
            if (checksum != checksum(version, name, state)) {
                throw new FleetException(
                        Code.STATE_FOREIGN, file.toString(), "is damaged, or of another name, balancer or cluster");
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

    /**
     * Saves a state. {@code onSaved} runs on the writer's thread once the state is on the disk; never if that fails.
     */
    void write(String name, byte[] state, Runnable onSaved) {
        writer.execute(() -> {
            Path file = file(name);
            Path newFile = file.resolveSibling(file.getFileName() + ".new");
            try {
                Files.createDirectories(folder);
                try (FileChannel out = FileChannel.open(
                        newFile,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING,
                        StandardOpenOption.WRITE)) {
                    ByteBuffer all = ByteBuffer.allocate(HEADER_BYTES + state.length)
                            .putInt(MAGIC)
                            .putInt(VERSION)
                            .putLong(checksum(VERSION, name, state))
                            .put(state)
                            .flip();
                    while (all.hasRemaining()) {
                        out.write(all);
                    }
                    out.force(true);
                }
                Files.move(newFile, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
                onSaved.run();
            } catch (IOException e) {
                Log.warn(
                        "state-not-written",
                        new FleetException(Code.STATE_FOLDER, file.toString(), String.valueOf(e)).text());
            }
        });
    }

    private long checksum(int version, String name, byte[] state) {
        CRC32C crc = new CRC32C();
        if (version != VERSION_WITHOUT_OWNER) {
            // The length separates the cluster from the owner, so that no two pairs give the same bytes.
            crc.update((cluster.length() + " " + cluster + owner + "\n").getBytes(StandardCharsets.UTF_8));
        }
        crc.update(name.getBytes(StandardCharsets.UTF_8));
        crc.update(state);
        return crc.getValue();
    }
}
