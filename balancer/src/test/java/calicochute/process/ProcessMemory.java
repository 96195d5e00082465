package calicochute.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The resident memory of a process, as the system counts it. */
final class ProcessMemory {
    private static final int KIB_PER_MIB = 1024;

    private ProcessMemory() {}

    /** The most that was resident so far, in MiB. */
    static long peakMb(Process process) throws IOException {
        return read(process.pid(), "VmHWM:");
    }

    /** What is resident now, in MiB. */
    static long residentMb(long pid) throws IOException {
        return read(pid, "VmRSS:");
    }

    private static long read(long pid, String field) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
            if (line.startsWith(field)) {
                return Long.parseLong(line.replaceAll("\\D", "")) / KIB_PER_MIB;
            }
        }
        throw new IOException("no " + field + " of process " + pid);
    }
}
