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
 * A command line with sub-commands, parsed by JCommander, that accepts {@code --help} with and without a command. The
 * exit status is {@link #DONE} if the command succeeded or help was printed, {@link #FAILED} if the command failed and
 * {@link #WRONG_USAGE} if the arguments are invalid.
 */
public final class CommandLine {
    /** Exit status: success. */
    public static final int DONE = 0;
    /** Exit status: the command failed. */
    public static final int FAILED = 1;
    /** Exit status: the arguments are invalid. */
    public static final int WRONG_USAGE = 2;

    private final String program;
    private final Map<String, Command> commands = new LinkedHashMap<>();

    /** A sub-command. An exception of {@link #run} ends the program with its message and no stack trace. */
    public interface Command {
        void run() throws Exception;
    }

    /** The option of the command line itself. */
    private static final class Help {
        @Parameter(
                names = {"--help", "-h"},
                help = true,
                description = "Print this help and exit")
        private boolean help;
    }

    public CommandLine(String program) {
        this.program = program;
    }

    /** Adds a sub-command. */
    public CommandLine command(String name, Command command) {
        commands.put(name, command);
        return this;
    }

    /** Runs the command that the arguments name and returns the exit status. Requested help goes to standard output. */
    public int run(String... args) {
        // Handled before parsing, which would complain of required options that are missing beside --help.
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
            String command = args.length > 0 && commands.containsKey(args[0]) ? args[0] : null;
            help(command, System.err);
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

    /** Prints the usage of the command, or that of the whole command line if it is null. */
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
