package calicochute.admin;

import java.util.function.Consumer;

/**
 * What operators can ask of a balancer, whatever carries their calls. Any thread may call and nothing blocks; what
 * can't be known at once is told to {@code done}, from any thread, once.
 */
public interface Operations {
    /** How a call ended. */
    enum Result {
        DONE,
        NO_SUCH_SERVER,
        FAILED
    }

    /** True once this process can serve. */
    boolean ready();

    /** The figures, one a line. */
    String stats();

    /** The split experiments, one a line. */
    String experiments();

    /** Who of the fleet is there, and what travels, one a line. */
    String fleet();

    /** Takes a backend server out, until it is called back. */
    void cordon(String server, Consumer<Result> done);

    /** Uses a backend server again. */
    void uncordon(String server, Consumer<Result> done);

    /** Sends clients away. */
    void quiesce(Consumer<Result> done);

    /** Back to work. */
    void resume(Consumer<Result> done);
}
