package calicochute.cli;

import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import calicochute.decision.Balancer;
import calicochute.wire.Host;
import calicochute.wire.WireException;

/** Command line entry: {@code wirehost} speaks the adapter's wire on standard input and output. */
public final class Main {
    private Main() {
    }

    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("wirehost")) {
            System.err.println("usage: calicochute wirehost");
            System.exit(2);
        }
        try {
            OutputStream out = new BufferedOutputStream(new FileOutputStream(FileDescriptor.out), 1 << 16);
            new Host(new FileInputStream(FileDescriptor.in), out, Balancer::create).run();
        } catch (WireException | IOException e) {
            System.err.println("calicochute: " + e.getMessage());
            System.exit(1);
        }
    }
}
