package calicochute.cli;

import calicochute.decision.Balancer;
import calicochute.wire.WireException;
import calicochute.wire.WireHost;
import com.beust.jcommander.Parameters;
import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;

/** Speaks the simulator's wire on standard input and output. */
@Parameters(commandDescription = "WireHost the decision module on the simulator's wire, on standard input and output")
final class WireHostCommand implements CommandLine.Command {
    @Override
    public void run() throws IOException, WireException {
        OutputStream out = new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), 1 << 16);
        new WireHost(new FileInputStream(FileDescriptor.in), out, Balancer::create).run();
    }
}
