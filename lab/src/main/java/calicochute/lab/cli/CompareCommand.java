package calicochute.lab.cli;

import calicochute.cli.CommandLine;
import calicochute.lab.experiment.Difference;
import calicochute.lab.experiment.Installation;
import calicochute.lab.experiment.Runner;
import calicochute.lab.experiment.Variant;
import calicochute.lab.result.RunResult;
import calicochute.lab.scenario.Scenario;
import calicochute.lab.scenario.ScenarioReader;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Sets variants side by side, paired by their seeds; plays them first where a scenario is given. */
@Parameters(commandDescription = "Set the runs of folders side by side, or play two builds in turn and compare them")
final class CompareCommand implements CommandLine.Command {
    @Parameter(description = "DIR DIR… (each a run, or a folder of runs)")
    private List<String> folders = new ArrayList<>();

    @Parameter(names = "--scenario", description = "Play this scenario with each --balancer-command, in turn")
    private String scenario;

    @Parameter(
            names = "--balancer-command",
            description = "A command that starts one balancer, or 'deployed'; give it once for each variant")
    private List<String> commands = new ArrayList<>();

    @Parameter(names = "--seeds", description = "The seeds to play each variant with")
    private List<Long> seeds = new ArrayList<>(List.of(1L, 2L, 3L));

    @Parameter(names = "--out", description = "The folder for what is played")
    private String out = "lab-results/compare";

    @Override
    public void run() throws Exception {
        Console console = Console.standard();
        List<String> sides = scenario == null ? folders : play(console);
        if (sides.size() < 2) {
            throw new ParameterException("needs two folders at least, or --scenario and two --balancer-command");
        }
        List<Variant> variants = new ArrayList<>();
        for (String side : sides) {
            variants.add(Variant.read(Path.of(side)));
        }
        Variant base = variants.get(0);
        for (Variant other : variants.subList(1, variants.size())) {
            List<Difference> differences = Difference.of(base.bySeed(), other.bySeed());
            if (differences.isEmpty()) {
                throw new Exception(base.name() + " and " + other.name() + " share no seed");
            }
            console.say(String.format(
                    Locale.ROOT,
                    "%n%s (%d runs) against %s (%d runs); %d pairs by seed%s",
                    other.name(),
                    other.runs().size(),
                    base.name(),
                    base.runs().size(),
                    differences.get(0).pairs(),
                    base.skipped() + other.skipped() > 0
                            ? "; " + (base.skipped() + other.skipped()) + " don't count"
                            : ""));
            console.say(String.format(
                    Locale.ROOT,
                    "  %-44s %10s %10s  %s",
                    "figure",
                    "base",
                    "difference",
                    "95% interval (* leaves out 0)"));
            for (Difference d : differences) {
                console.say(String.format(
                        Locale.ROOT,
                        "  %-44s %10s %+10.4f  [%+.4f, %+.4f]%s",
                        d.figure(),
                        Console.figure(d.baseMean()),
                        d.mean(),
                        d.low(),
                        d.high(),
                        d.clear() ? " *" : ""));
            }
        }
    }

    /** Each seed with each variant before the next seed, the order turning, so that the machine's moods meet both. */
    private List<String> play(Console console) throws Exception {
        if (commands.size() < 2) {
            throw new ParameterException("--scenario needs --balancer-command twice at least ('deployed' for \"run\")");
        }
        Scenario read = ScenarioReader.read(Path.of(scenario));
        List<String> sides = new ArrayList<>();
        for (int i = 0; i < commands.size(); i++) {
            sides.add(Path.of(out, "variant-" + (i + 1)).toString());
        }
        for (int s = 0; s < seeds.size(); s++) {
            for (int i = 0; i < commands.size(); i++) {
                int v = s % 2 == 0 ? i : commands.size() - 1 - i;
                String command = commands.get(v).equals("deployed") ? null : commands.get(v);
                RunResult result = new Runner(Installation.balancers(command), console)
                        .run(read, seeds.get(s), Path.of(sides.get(v), "seed-" + seeds.get(s)));
                console.say(String.format(
                        Locale.ROOT,
                        "variant %d seed %d: service %.4f, %d broken rules%s",
                        v + 1,
                        seeds.get(s),
                        result.figures().get("service"),
                        result.breaches().size(),
                        result.counts() ? "" : " (does not count)"));
            }
        }
        return sides;
    }
}
