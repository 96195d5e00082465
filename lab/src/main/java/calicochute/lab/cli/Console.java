package calicochute.lab.cli;

import calicochute.lab.emulator.Emulation;
import calicochute.lab.result.RunResult;
import java.io.PrintStream;
import java.util.Locale;

/**
 * Prints the progress of a run, as a line that is updated on a terminal or one every few seconds elsewhere, and its
 * result.
 */
final class Console implements Emulation.Progress {
    private static final int PLAIN_LINE_INTERVAL_SECONDS = 5;
    private final PrintStream out;
    private final boolean terminal;
    private double lastPlainLineAtSeconds = -PLAIN_LINE_INTERVAL_SECONDS;
    private boolean progressLineOpen;

    Console(PrintStream out, boolean terminal) {
        this.out = out;
        this.terminal = terminal;
    }

    static Console standard() {
        return new Console(System.out, System.console() != null);
    }

    @Override
    public void second(double seconds, double length, long ended, double served, int open) {
        String line = String.format(
                Locale.ROOT,
                "%5.0f of %.0f s  %7d requests ended  %5d open  service so far %.3f",
                seconds,
                length,
                ended,
                open,
                served);
        if (terminal) {
            out.print("\r" + line + " ");
            out.flush();
            progressLineOpen = true;
        } else if (seconds - lastPlainLineAtSeconds >= PLAIN_LINE_INTERVAL_SECONDS - 0.01) {
            lastPlainLineAtSeconds = seconds;
            out.println(line);
        }
    }

    void print(String text) {
        if (progressLineOpen) {
            out.println();
            progressLineOpen = false;
        }
        out.println(text);
    }

    /** Prints the figures of a run, and a line that begins with "void" or "partial" if they are not to be used. */
    void printResult(RunResult result) {
        lastPlainLineAtSeconds = -PLAIN_LINE_INTERVAL_SECONDS;
        print("");
        print(result.title() + " (seed " + result.seed() + ")");
        result.figures().forEach((name, value) -> {
            if (!name.startsWith("latency_p") || name.endsWith("_all")) {
                print(String.format(Locale.ROOT, "  %-44s %12s", name, format(value)));
            }
        });
        result.breaches().stream()
                .limit(20)
                .forEach(b -> print(String.format(
                        Locale.ROOT,
                        "  BREACH %-16s at %.3f s balancer=%s session=%s server=%s %s",
                        b.rule(),
                        b.at(),
                        b.balancer(),
                        b.session(),
                        b.server(),
                        b.details())));
        if (result.breaches().size() > 20) {
            print("  … " + (result.breaches().size() - 20) + " more in breaches.csv");
        }
        if (result.ended() != null) {
            print("partial: " + result.ended());
        } else if (result.invalid() != null) {
            print("void: " + result.invalid());
        }
    }

    static String format(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e9
                ? String.format(Locale.ROOT, "%.0f", value)
                : String.format(Locale.ROOT, Math.abs(value) >= 100 ? "%.1f" : "%.4f", value);
    }
}
