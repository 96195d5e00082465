package calicochute.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.util.LinkedHashMap;
import java.util.Map;

/** Command line entry: picks the sub-command. */
public final class Main {
    private Main() {
    }

    /** One sub-command; what it throws ends the program with a plain message. */
    interface Command {
        void run() throws Exception;
    }

    public static void main(String[] args) {
        Map<String, Command> commands = new LinkedHashMap<>();
        commands.put("serve", new ServeCommand());
        commands.put("wirehost", new WireHostCommand());
        commands.put("check", new CheckCommand());
        commands.put("rehearse", new RehearseCommand());
        commands.put("version", new VersionCommand());
        JCommander.Builder builder = JCommander.newBuilder().programName("calicochute");
        commands.forEach(builder::addCommand);
        JCommander parser = builder.build();
        try {
            parser.parse(args);
            if (parser.getParsedCommand() == null) {
                throw new ParameterException("no command given");
            }
        } catch (ParameterException e) {
            StringBuilder usage = new StringBuilder();
            parser.getUsageFormatter().usage(usage);
            System.err.println("calicochute: " + e.getMessage() + "\n" + usage);
            System.exit(2);
        }
        try {
            commands.get(parser.getParsedCommand()).run();
        } catch (Exception e) {
            System.err.println("calicochute: " + (e.getMessage() == null ? e : e.getMessage()));
            System.exit(1);
        }
    }
}
