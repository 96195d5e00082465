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

/** Runs the decision module for the simulator, over the simulator's protocol on standard input and output. */
@Parameters(commandDescription = "Run the decision module for the simulator, over standard input and output")
final class WireHostCommand implements CommandLine.Command {
    private static final int BUFFER_BYTES = 1 << 16;

    @Override
    public void run() throws IOException, WireException {
        OutputStream out = new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), BUFFER_BYTES);
        new WireHost(new FileInputStream(FileDescriptor.in), out, Balancer::create).run();
    }
}
