package calicochute.cli;

import calicochute.errors.CodedError;
import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A program's sub-commands on JCommander, with {@code --help} at every level. The exit status is 0 when a command did
 * its work or help was asked for, 1 when it failed and 2 when it was not understood.
 */
public final class CommandLine {
    /** The statuses a command line ends with. */
    public static final int DONE = 0;

    public static final int FAILED = 1;
    public static final int WRONG_USAGE = 2;
    private final String program;
    private final Map<String, Command> commands = new LinkedHashMap<>();

    /** One sub-command; what it throws ends the program with a plain message. */
    public interface Command {
        void run() throws Exception;
    }

    /** What every level understands beside its commands. */
    private static final class Help {
        @Parameter(
                names = {"--help", "-h"},
                help = true,
                description = "Say what there is to say, and end")
        private boolean wanted;
    }

    public CommandLine(String program) {
        this.program = program;
    }

    public CommandLine command(String name, Command command) {
        commands.put(name, command);
        return this;
    }

    /** Runs the command that the arguments name; returns the exit status. A help text goes to standard output. */
    public int run(String... args) {
        // Before the parser: it would complain of required options that a call for help lacks.
        if (Arrays.stream(args).takeWhile(a -> !a.equals("--")).anyMatch(a -> a.equals("--help") || a.equals("-h"))) {
            help(Arrays.stream(args).filter(commands::containsKey).findFirst().orElse(null), System.out);
            return DONE;
        }
        JCommander parser = parser();
        try {
            parser.parse(args);
            if (parser.getParsedCommand() == null) {
                throw new ParameterException("no command given");
            }
        } catch (ParameterException e) {
            System.err.println(program + ": " + e.getMessage());
            String named = args.length > 0 && commands.containsKey(args[0]) ? args[0] : null;
            help(named, System.err);
            return WRONG_USAGE;
        }
        try {
            commands.get(parser.getParsedCommand()).run();
            return DONE;
        } catch (ParameterException e) {
            System.err.println(program + ": " + e.getMessage());
            return WRONG_USAGE;
        } catch (Exception e) {
            if (e instanceof CodedError error) {
                System.err.println(program + ": " + error.text());
                return FAILED;
            }
            System.err.println(program + ": " + (e.getMessage() == null ? e : e.getMessage()));
            return FAILED;
        }
    }

    private JCommander parser() {
        JCommander.Builder builder =
                JCommander.newBuilder().programName(program).addObject(new Help());
        commands.forEach(builder::addCommand);
        return builder.build();
    }

    private void help(String command, PrintStream out) {
        StringBuilder text = new StringBuilder();
        JCommander parser = parser();
        if (command == null) {
            parser.getUsageFormatter().usage(text);
        } else {
            parser.getUsageFormatter().usage(command, text);
        }
        out.print(text);
        out.flush();
    }
}
