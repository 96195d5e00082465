package calicochute.admin;

import java.util.function.Consumer;

/**
 * What operators can ask of a balancer, independent of the transport. Thread-safe and non-blocking. Operations that
 * take time report their result to {@code done}, once, on any thread.
 */
public interface Operations {
    /** The result of an operation; written to the log under the constant's name. */
    enum Result {
        DONE,
        NO_SUCH_SERVER,
        FAILED
    }

    /** Whether this process can serve: it listens and has had a backend server on its list. */
    boolean ready();

    /** The statistics, one per line. */
    String stats();

    /** The state of the experiments, one per line. */
    String experiments();

    /** The state of the balancers' fleet and of the messages between its members, one item per line. */
    String fleet();

    /** Takes a backend server out of use until it is uncordoned. */
    void cordon(String server, Consumer<Result> done);

    /** Puts a cordoned backend server back into use. */
    void uncordon(String server, Consumer<Result> done);

    /** Sends clients away, until {@link #resume}. */
    void quiesce(Consumer<Result> done);

    /** Takes clients again. */
    void resume(Consumer<Result> done);
}
