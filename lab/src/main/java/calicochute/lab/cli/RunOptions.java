package calicochute.lab.cli;

import calicochute.lab.emulator.Emulation;
import calicochute.lab.experiment.Installation;
import com.beust.jcommander.Parameter;
import java.io.IOException;

/** Options of every command that starts balancers. */
final class RunOptions {
    @Parameter(names = "--seed", description = "Seed of the random numbers; the same seed draws the same run")
    long seed = 1;

    @Parameter(
            names = "--balancer-command",
            description = "A shell command that starts one balancer, in place of \"run\" in deploy/balancer.toml")
    String balancerCommand;

    Emulation.BalancerCommand balancers() throws IOException {
        return Installation.balancers(balancerCommand);
    }
}
