package calicochute.takeover;

import calicochute.decision.LearntState;
import calicochute.metrics.Log;
import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

/** The file in the shared folder by which a process hands the learnt state of its decision module to the next one. */
public final class LearntFile {
    /** Version of the file format. */
    private static final int VERSION = 2;
    /** Age at which the learnt state is discarded: estimates that old are worth no more than none. */
    private static final long MAX_AGE_MS = 10_000;

    private static final long NANOS_PER_MS = 1_000_000;

    private final Gson gson = new Gson();
    private final Path file;

    /**
     * The file's content; Gson writes the components under their names.
     *
     * @param version of the file format
     * @param atMs when it was written (Unix milliseconds)
     * @param atNanos the same by the monotonic clock; null if an earlier release has written the file
     * @param origin of the learnt state
     */
    public record Snapshot(int version, long atMs, Long atNanos, Origin origin, LearntState learnt) {
        /** The state's age; negative if it cannot be known, such as after a restart of the system. */
        public long ageMs(SaveTime now) {
            return atNanos == null ? now.wallMs() - atMs : Math.floorDiv(now.monotonicNanos() - atNanos, NANOS_PER_MS);
        }
    }

    public LearntFile(SharedFolder shared) {
        file = shared.file(".learnt");
    }

    public void write(Origin origin, LearntState learnt, SaveTime now) throws IOException {
        SharedFolder.replace(
                file, gson.toJson(new Snapshot(VERSION, now.wallMs(), now.monotonicNanos(), origin, learnt)));
    }

    /**
     * The file's content; null if the file is missing, malformed or too old, holds values that can't have been learnt,
     * or has another origin than the reader.
     */
    public Snapshot read(Origin reader, SaveTime now) throws IOException {
        try {
            Snapshot snapshot = gson.fromJson(Files.readString(file), Snapshot.class);
            if (snapshot == null
                    || snapshot.version != VERSION
                    || snapshot.ageMs(now) > MAX_AGE_MS
                    || snapshot.ageMs(now) < 0
                    || snapshot.learnt == null
                    || !snapshot.learnt.sane()) {
                return null;
            }
            if (!reader.equals(snapshot.origin)) {
                Log.warn("learnt-foreign", "learnt by " + snapshot.origin + ", not used by " + reader);
                return null;
            }
            return snapshot;
        } catch (NoSuchFileException | JsonParseException e) {
            return null;
        }
    }
}
