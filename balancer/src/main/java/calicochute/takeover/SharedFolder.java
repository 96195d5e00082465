package calicochute.takeover;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/** The folder that all processes of one balancer share, and how files in it are named and replaced. */
public record SharedFolder(Path folder, String balancer) {
    /**
     * A file of this balancer; names hold nothing that a file system takes for something else. Told apart where letters
     * had to be replaced, by the hash of the whole: {@code a/b} and {@code a_b} share no file.
     */
    public Path file(String suffix) {
        String plain = balancer.replaceAll("[^A-Za-z0-9._-]", "_");
        return folder.resolve("calicochute-"
                + (plain.equals(balancer) ? plain : plain + "-" + Integer.toHexString(balancer.hashCode())) + suffix);
    }

    /** Writes beside and renames: whoever reads sees the old text or the new one. */
    public static void replace(Path file, String text) throws IOException {
        Path beside = file.resolveSibling(
                file.getFileName() + "." + ProcessHandle.current().pid());
        Files.writeString(beside, text);
        Files.move(beside, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}
