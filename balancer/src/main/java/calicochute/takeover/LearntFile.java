package calicochute.takeover;

import calicochute.decision.Learnt;
import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

/** What the module of the serving process has learnt, in the folder that the processes share. */
public final class LearntFile {
    private static final int VERSION = 1;
    /** Older knowledge is worth no more than none. */
    private static final long OLDEST_MS = 10_000;
    private final Gson gson = new Gson();
    private final Path file;

    /** {@code learnt} as it was at that Unix time in milliseconds. */
    public record Note(int version, long atMs, Learnt learnt) { }

    public LearntFile(SharedFolder shared) {
        file = shared.file(".learnt");
    }

    public void write(Learnt learnt, long nowMs) throws IOException {
        SharedFolder.replace(file, gson.toJson(new Note(VERSION, nowMs, learnt)));
    }

    /** What was noted last; null if that is nothing, too old, torn or foreign. */
    public Note read(long nowMs) throws IOException {
        try {
            Note note = gson.fromJson(Files.readString(file), Note.class);
            return note == null || note.version != VERSION || nowMs - note.atMs > OLDEST_MS || nowMs < note.atMs
                || note.learnt == null || !note.learnt.sane() ? null : note;
        } catch (NoSuchFileException | JsonParseException e) {
            return null;
        }
    }
}
