package calicochute.takeover;

import calicochute.decision.LearntState;
import calicochute.metrics.Log;
import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

/** What the module of the serving process has learnt, in the folder that the processes share. */
public final class LearntFile {
    private static final int VERSION = 2;
    /** Older knowledge is worth no more than none. */
    private static final long OLDEST_MS = 10_000;

    private final Gson gson = new Gson();
    private final Path file;

    /** {@code learnt} as it was at that Unix time in milliseconds, and by whom. */
    public record Note(int version, long atMs, Origin origin, LearntState learnt) {}

    public LearntFile(SharedFolder shared) {
        file = shared.file(".learnt");
    }

    public void write(Origin origin, LearntState learnt, long nowMs) throws IOException {
        SharedFolder.replace(file, gson.toJson(new Note(VERSION, nowMs, origin, learnt)));
    }

    /** What was noted last; null if that is nothing, too old, torn, or of another origin than the reader's. */
    public Note read(Origin reader, long nowMs) throws IOException {
        try {
            Note note = gson.fromJson(Files.readString(file), Note.class);
            if (note == null
                    || note.version != VERSION
                    || nowMs - note.atMs > OLDEST_MS
                    || nowMs < note.atMs
                    || note.learnt == null
                    || !note.learnt.sane()) {
                return null;
            }
            if (!reader.equals(note.origin)) {
                Log.warn("learnt-foreign", "learnt by " + note.origin + ", not taken by " + reader);
                return null;
            }
            return note;
        } catch (NoSuchFileException | JsonParseException e) {
            return null;
        }
    }
}
