package calicochute.lab.cli;

import calicochute.lab.emulator.Emulation;
import calicochute.lab.result.RunResult;
import java.io.PrintStream;
import java.util.Locale;

/** What a person sees of a run: a live line on a terminal, a plain line now and then elsewhere, a closing table. */
final class Console implements Emulation.Progress {
    private static final int PLAIN_EVERY_S = 5;
    private final PrintStream out;
    private final boolean terminal;
    private double lastPlain = -PLAIN_EVERY_S;
    private boolean dirty;

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
            dirty = true;
        } else if (seconds - lastPlain >= PLAIN_EVERY_S - 0.01) {
            lastPlain = seconds;
            out.println(line);
        }
    }

    void say(String text) {
        if (dirty) {
            out.println();
            dirty = false;
        }
        out.println(text);
    }

    /** The closing table of one run; a line that begins with "void" or "partial" if its figures don't count. */
    void table(RunResult result) {
        lastPlain = -PLAIN_EVERY_S;
        say("");
        say(result.title() + " (seed " + result.seed() + ")");
        result.figures().forEach((name, value) -> {
            if (!name.startsWith("latency_p") || name.endsWith("_all")) {
                say(String.format(Locale.ROOT, "  %-44s %12s", name, figure(value)));
            }
        });
        result.breaches().stream()
                .limit(20)
                .forEach(b -> say(String.format(
                        Locale.ROOT,
                        "  BREACH %-16s at %.3f s balancer=%s session=%s server=%s %s",
                        b.rule(),
                        b.at(),
                        b.balancer(),
                        b.session(),
                        b.server(),
                        b.details())));
        if (result.breaches().size() > 20) {
            say("  … " + (result.breaches().size() - 20) + " more in breaches.csv");
        }
        if (result.ended() != null) {
            say("partial: " + result.ended());
        } else if (result.invalid() != null) {
            say("void: " + result.invalid());
        }
    }

    static String figure(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e9
                ? String.format(Locale.ROOT, "%.0f", value)
                : String.format(Locale.ROOT, Math.abs(value) >= 100 ? "%.1f" : "%.4f", value);
    }
}
