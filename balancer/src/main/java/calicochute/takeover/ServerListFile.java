package calicochute.takeover;

import calicochute.discovery.ServerList;
import calicochute.discovery.ServerListJson;
import calicochute.metrics.Log;
import calicochute.settings.SettingsException;
import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.zip.CRC32;

/**
 * The file that holds the newest server list that any process of a balancer was told. It has three lines: a header, the
 * list in discovery's format, and a checksum of the two. It is replaced atomically and under an operating system lock,
 * and never by an older list. Used by one thread.
 */
public final class ServerListFile {
    /** Version of the file format. */
    private static final int FORMAT = 1;

    private static final String TEMPORARY_SUFFIX = "new";

    private final Gson gson = new Gson();
    private final ListOrigin origin;
    private final Path file;
    private final Path lockFile;
    private final FileChange change;

    /** The first line of the file; Gson writes the components under their names. */
    private record Header(
            int format,
            ListOrigin origin,
            ListVersion version,
            long highestGeneration,
            String discovery,
            long savedAtNanos,
            long wallClockOffsetMicros) {
        boolean complete() {
            return format == FORMAT
                    && origin != null
                    && origin.balancer() != null
                    && origin.listen() != null
                    && origin.tenants() != null
                    && version != null
                    && discovery != null;
        }
    }

    /** @param origin of the lists that this process is told */
    public ServerListFile(SharedFolder shared, ListOrigin origin) {
        this.origin = origin;
        file = shared.file(".list");
        lockFile = shared.file(".list.lock");
        change = new FileChange(file);
    }

    /**
     * The list in the file if the file was changed since the last call; else null. Null too if the file is missing or
     * damaged, or was written for another deployment.
     */
    public SavedServerList readIfChanged() throws IOException {
        if (!change.unread()) {
            return null;
        }
        try {
            return read();
        } catch (IOException e) {
            change.forget();
            throw e;
        }
    }

    /**
     * Saves the list unless the file holds one that is as new or newer. False if another process is writing: the caller
     * has to try again.
     */
    public boolean offer(SavedServerList saved) throws IOException {
        try (FileChannel channel = FileChannel.open(lockFile, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
                FileLock lock = channel.tryLock()) {
            if (lock == null) {
                return false;
            }
            Header inFile = header(lines());
            if (inFile == null || saved.version().isNewerThan(inFile.version)) {
                write(saved);
            }
            return true;
        }
    }

    private void write(SavedServerList saved) throws IOException {
        Header header = new Header(
                FORMAT,
                origin,
                saved.version(),
                saved.highestGeneration(),
                saved.discovery(),
                saved.savedAtNanos(),
                saved.wallClockOffsetMicros());
        String text = gson.toJson(header) + "\n" + ServerListJson.write(saved.list()) + "\n";
        SharedFolder.replace(file, TEMPORARY_SUFFIX, text + checksum(text) + "\n");
        // This process need not read its own list again.
        change.unread();
    }

    private SavedServerList read() throws IOException {
        String[] lines = lines();
        Header header = header(lines);
        if (header == null) {
            return null;
        }
        try {
            return new SavedServerList(
                    header.version,
                    header.highestGeneration,
                    header.discovery,
                    header.savedAtNanos,
                    header.wallClockOffsetMicros,
                    ServerList.parse(lines[1]));
        } catch (SettingsException e) {
            Log.warn("list-not-used", file.getFileName() + ": " + e.getMessage());
            return null;
        }
    }

    /** The lines of the file; none if it is missing. */
    private String[] lines() throws IOException {
        return Files.exists(file)
                ? new String(Files.readAllBytes(file), StandardCharsets.UTF_8).split("\n")
                : new String[0];
    }

    /** The header of a whole file of this deployment; null for any other. */
    private Header header(String[] lines) {
        if (lines.length == 0) {
            return null;
        }
        if (lines.length != 3 || !checksum(lines[0] + "\n" + lines[1] + "\n").equals(lines[2])) {
            Log.warn("list-not-used", file.getFileName() + " is damaged");
            return null;
        }
        try {
            Header header = gson.fromJson(lines[0], Header.class);
            if (header != null && header.complete() && origin.accepts(header.origin)) {
                return header;
            }
            Log.warn("list-not-used", file.getFileName() + " belongs to another deployment than " + origin);
        } catch (JsonParseException e) {
            Log.warn("list-not-used", file.getFileName() + ": " + e.getMessage());
        }
        return null;
    }

    private static String checksum(String text) {
        CRC32 crc = new CRC32();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        return Long.toHexString(crc.getValue());
    }
}
