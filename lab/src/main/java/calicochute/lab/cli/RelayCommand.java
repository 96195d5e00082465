package calicochute.lab.cli;

import calicochute.cli.CommandLine;
import calicochute.lab.relay.Relay;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** Runs the bare relay that "overhead" compares a balancer with. */
@Parameters(commandDescription = "Run a bare HttpCore relay (what \"overhead\" compares the balancer with)")
final class RelayCommand implements CommandLine.Command {
    @Parameter(description = "LISTEN TO (each address:port)")
    private List<String> addresses = new ArrayList<>();

    @Override
    public void run() throws Exception {
        if (addresses.size() != 2) {
            throw new ParameterException("needs two addresses: the one to listen on, and the server's");
        }
        Relay.start(address(addresses.get(0)), address(addresses.get(1)));
        Thread.currentThread().join();
    }

    private static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1 || !text.substring(colon + 1).matches("\\d{1,5}")) {
            throw new ParameterException("'" + text + "' is not address:port");
        }
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
