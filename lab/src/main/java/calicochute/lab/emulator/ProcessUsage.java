package calicochute.lab.emulator;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** What a process has used, read from /proc: CPU seconds since its start, and resident memory in bytes. */
record ProcessUsage(double cpuSeconds, long resident) {
    private static final int TICKS_A_SECOND = 100;
    private static final int PAGE = 4096;

    static ProcessUsage of(long pid) throws IOException {
        Path proc = Path.of("/proc", Long.toString(pid));
        String stat = Files.readString(proc.resolve("stat"), StandardCharsets.US_ASCII);
        // The name before the last parenthesis may hold anything; the fields after it are utime and stime among others.
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return new ProcessUsage(
                (Double.parseDouble(fields[11]) + Double.parseDouble(fields[12])) / TICKS_A_SECOND,
                Long.parseLong(Files.readString(proc.resolve("statm")).split(" ")[1]) * PAGE);
    }
}
