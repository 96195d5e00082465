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
 * The class path of the tests with each class folder packed into a jar, once per test run. Loading a class from a
 * folder takes a file descriptor; a balancer that has none left would fail to load that class for good. From a jar, as
 * in production, no further descriptor is needed.
 */
final class JarredClassPath {
    private static String path;

    private JarredClassPath() {}

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
        Path jar = Files.createTempFile("calicochute", ".jar");
        jar.toFile().deleteOnExit();
        try (ZipOutputStream output = new ZipOutputStream(Files.newOutputStream(jar));
                Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.filter(Files::isRegularFile).sorted().toList()) {
                output.putNextEntry(
                        new ZipEntry(folder.relativize(file).toString().replace(File.separatorChar, '/')));
                Files.copy(file, output);
            }
        }
        return jar.toString();
    }
}
