package calicochute.lab.emulator;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** The resources that a process uses, read from /proc: CPU time since its start, and resident memory. */
record ProcessUsage(double cpuSeconds, long residentBytes) {
    private static final int CLOCK_TICKS_PER_SECOND = 100;
    private static final int PAGE_BYTES = 4096;

    static ProcessUsage of(long pid) throws IOException {
        Path proc = Path.of("/proc", Long.toString(pid));
        String stat = Files.readString(proc.resolve("stat"), StandardCharsets.US_ASCII);
        // The process name may contain any characters, so fields are counted from the last closing parenthesis.
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
        return new ProcessUsage(
                (Double.parseDouble(fields[11]) + Double.parseDouble(fields[12])) / CLOCK_TICKS_PER_SECOND,
                Long.parseLong(Files.readString(proc.resolve("statm")).split(" ")[1]) * PAGE_BYTES);
    }
}
