package calicochute.lab.cli;

import calicochute.cli.CommandLine;
import calicochute.lab.experiment.Installation;
import calicochute.lab.experiment.PairedDifference;
import calicochute.lab.experiment.ScenarioRunner;
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

/** Compares variants, paired by seed; if a scenario is given, runs it with each of them first. */
@Parameters(commandDescription = "Compare the runs in folders, or run builds in turn and compare them")
final class CompareCommand implements CommandLine.Command {
    @Parameter(description = "DIR DIR… (each a run, or a folder of runs)")
    private List<String> folders = new ArrayList<>();

    @Parameter(names = "--scenario", description = "Run this scenario with each --balancer-command, in turn")
    private String scenario;

    @Parameter(
            names = "--balancer-command",
            description = "A command that starts one balancer, or 'deployed'; give it once for each variant")
    private List<String> commands = new ArrayList<>();

    @Parameter(names = "--seeds", description = "The seeds to run each variant with")
    private List<Long> seeds = new ArrayList<>(List.of(1L, 2L, 3L));

    @Parameter(names = "--out", description = "The folder for the results of the runs")
    private String out = "lab-results/compare";

    @Override
    public void run() throws Exception {
        Console console = Console.standard();
        List<String> variantFolders = scenario == null ? folders : runVariants(console);
        if (variantFolders.size() < 2) {
            throw new ParameterException("needs at least two folders, or --scenario and two --balancer-command");
        }
        List<Variant> variants = new ArrayList<>();
        for (String folder : variantFolders) {
            variants.add(Variant.read(Path.of(folder)));
        }
        Variant base = variants.get(0);
        for (Variant other : variants.subList(1, variants.size())) {
            List<PairedDifference> differences = PairedDifference.of(base.bySeed(), other.bySeed());
            if (differences.isEmpty()) {
                throw new Exception(base.name() + " and " + other.name() + " have no seed in common");
            }
            console.print(String.format(
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
            console.print(String.format(
                    Locale.ROOT,
                    "  %-44s %10s %10s  %s",
                    "figure",
                    "base",
                    "difference",
                    "95% interval (* leaves out 0)"));
            for (PairedDifference d : differences) {
                console.print(String.format(
                        Locale.ROOT,
                        "  %-44s %10s %+10.4f  [%+.4f, %+.4f]%s",
                        d.figure(),
                        Console.format(d.baseMean()),
                        d.mean(),
                        d.low(),
                        d.high(),
                        d.excludesZero() ? " *" : ""));
            }
        }
    }

    /**
     * Runs all variants with one seed before the next, in alternating order, so that changes in the load of the machine
     * affect all variants alike. Returns the folder of each variant.
     */
    private List<String> runVariants(Console console) throws Exception {
        if (commands.size() < 2) {
            throw new ParameterException("--scenario needs --balancer-command at least twice ('deployed' for \"run\")");
        }
        Scenario parsedScenario = ScenarioReader.read(Path.of(scenario));
        List<String> variantFolders = new ArrayList<>();
        for (int i = 0; i < commands.size(); i++) {
            variantFolders.add(Path.of(out, "variant-" + (i + 1)).toString());
        }
        for (int s = 0; s < seeds.size(); s++) {
            for (int i = 0; i < commands.size(); i++) {
                int variant = s % 2 == 0 ? i : commands.size() - 1 - i;
                String command = commands.get(variant).equals("deployed") ? null : commands.get(variant);
                RunResult result = new ScenarioRunner(Installation.balancers(command), console)
                        .run(
                                parsedScenario,
                                seeds.get(s),
                                Path.of(variantFolders.get(variant), "seed-" + seeds.get(s)));
                console.print(String.format(
                        Locale.ROOT,
                        "variant %d seed %d: service %.4f, %d broken rules%s",
                        variant + 1,
                        seeds.get(s),
                        result.figures().get("service"),
                        result.breaches().size(),
                        result.usable() ? "" : " (does not count)"));
            }
        }
        return variantFolders;
    }
}
