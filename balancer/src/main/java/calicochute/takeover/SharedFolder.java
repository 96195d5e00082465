package calicochute.takeover;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/** The folder that all processes of one balancer share: names its files and replaces them atomically. */
public record SharedFolder(Path folder, String balancer) {
    /**
     * The balancer's file with this suffix. Characters that are not safe in file names are replaced; a hash of the
     * whole name then keeps names apart that would become equal, as {@code a/b} and {@code a_b}.
     */
    public Path file(String suffix) {
        String safeName = balancer.replaceAll("[^A-Za-z0-9._-]", "_");
        return folder.resolve("calicochute-"
                + (safeName.equals(balancer) ? safeName : safeName + "-" + Integer.toHexString(balancer.hashCode()))
                + suffix);
    }

    /** Writes a temporary file and renames it: a reader sees either the old text or the new one. */
    public static void replace(Path file, String text) throws IOException {
        replace(file, Long.toString(ProcessHandle.current().pid()), text);
    }

    /**
     * As above, with a suffix for the temporary file. A writer that holds a lock can always use the same one, so that
     * killed writers leave one file behind at most.
     */
    static void replace(Path file, String temporarySuffix, String text) throws IOException {
        Path temporary = file.resolveSibling(file.getFileName() + "." + temporarySuffix);
        try {
            Files.writeString(temporary, text);
            Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            deleteQuietly(temporary, e);
            throw e;
        }
    }

    /** Gives back the room of a file that could not be written whole, such as on a full disk. */
    private static void deleteQuietly(Path file, IOException cause) {
        try {
            Files.deleteIfExists(file);
        } catch (IOException e) {
            cause.addSuppressed(e);
        }
    }
}
