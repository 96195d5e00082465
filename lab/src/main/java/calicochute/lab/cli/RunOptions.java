package calicochute.lab.cli;

import calicochute.lab.emulator.Emulation;
import calicochute.lab.experiment.Installation;
import com.beust.jcommander.Parameter;
import java.io.IOException;

/** What every command that starts balancers understands. */
final class RunOptions {
    @Parameter(names = "--seed", description = "What chance starts from; the same seed draws the same run")
    long seed = 1;

    @Parameter(
            names = "--balancer-command",
            description = "A shell command that starts one balancer, in place of \"run\" in deploy/balancer.toml")
    String balancerCommand;

    Emulation.BalancerCommand balancers() throws IOException {
        return Installation.balancers(balancerCommand);
    }
}
