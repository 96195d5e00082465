package calicochute.process;

import static org.junit.Assert.assertEquals;

import java.io.IOException;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Map;

/**
 * Faults of the system under a balancer process: steps of its wall clock and calls that fail. A small library, compiled
 * from {@code fault_shim.c}, is loaded into the process; a shared file tells it the faults in force.
 */
final class FaultShim {
    static final int ENFILE = 23;
    static final int ECONNABORTED = 103;
    static final int ENETUNREACH = 101;
    static final int EADDRNOTAVAIL = 99;
    static final int ENOBUFS = 105;
    static final int NONE = 0;

    /** What can be changed, in the order of the library's table. */
    enum Fault {
        CLOCK_OFFSET_SECONDS,
        ACCEPT_ERRNO,
        SOCKET_ERRNO,
        CONNECT_ERRNO
    }

    private static Path library;

    private final Path file;
    private final MappedByteBuffer faults;

    FaultShim() throws Exception {
        file = Files.createTempFile("calicochute-faults", "");
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            faults = channel.map(FileChannel.MapMode.READ_WRITE, 0, (long) Fault.values().length * Long.BYTES);
        }
        faults.order(ByteOrder.nativeOrder());
    }

    /** The shell command that has the next program load the library. */
    String export() throws Exception {
        StringBuilder command = new StringBuilder("export");
        environment().forEach((name, value) -> command.append(" " + name + "=" + value));
        return command.append("; ").toString();
    }

    /** The environment variables that have a program load the library. */
    Map<String, String> environment() throws Exception {
        return Map.of(
                "FAULT_SHIM_FILE", file.toString(), "LD_PRELOAD", library().toString());
    }

    void set(Fault fault, long value) {
        faults.putLong(fault.ordinal() * Long.BYTES, value);
    }

    private static synchronized Path library() throws IOException, InterruptedException {
        if (library == null) {
            Path folder = Files.createTempDirectory("calicochute-shim");
            Path source = folder.resolve("fault_shim.c");
            Files.write(
                    source, FaultShim.class.getResourceAsStream("/fault_shim.c").readAllBytes());
            Path built = folder.resolve("fault_shim.so");
            Process compiler = new ProcessBuilder(
                            "cc", "-O1", "-shared", "-fPIC", "-o", built.toString(), source.toString(), "-ldl")
                    .inheritIO()
                    .start();
            assertEquals("the C compiler", 0, compiler.waitFor());
            library = built;
        }
        return library;
    }
}
