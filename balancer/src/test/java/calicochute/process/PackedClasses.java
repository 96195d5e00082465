package calicochute.process;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import java.util.zip.ZipEntry;
import java.util.zip.ZipOutputStream;

/**
 * The tests' class path with each folder of classes packed, once in a test run. Guards against a program that is short
 * of descriptors and takes one for a class's first use: from a folder it does, and lacks that class for good; from an
 * archive, as it is shipped, it does not.
 */
final class PackedClasses {
    private static String path;

    private PackedClasses() {}

    static synchronized String path() throws IOException {
        if (path == null) {
            List<String> entries = new ArrayList<>();
            for (String entry : System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"))
                    .split(File.pathSeparator)) {
                entries.add(Files.isDirectory(Path.of(entry)) ? pack(Path.of(entry)) : entry);
            }
            path = String.join(File.pathSeparator, entries);
        }
        return path;
    }

    private static String pack(Path folder) throws IOException {
        Path archive = Files.createTempFile("calicochute", ".jar");
        archive.toFile().deleteOnExit();
        try (ZipOutputStream out = new ZipOutputStream(Files.newOutputStream(archive));
                Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.filter(Files::isRegularFile).sorted().toList()) {
                out.putNextEntry(new ZipEntry(folder.relativize(file).toString().replace(File.separatorChar, '/')));
                Files.copy(file, out);
            }
        }
        return archive.toString();
    }
}
