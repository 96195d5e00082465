package calicochute.lab.referee;

/** The rules that a balancer must keep, each with a description of its breach. */
public enum Rule {
    LOST("a session was taken and got no final answer before its client gave up"),
    ANSWERED_TWICE("a session got more than one final answer"),
    FORGED("a session was served with something that no backend server made for it"),
    UNKNOWN("a dispatch carried the id of no session"),
    RAN_TWICE("a session was sent again, beyond what its class allows, when it may have run"),
    DENIED_AFTER_RUN("a session that may have run was denied, which says that asking again does no harm"),
    TWO_AT_ONCE("two dispatches of a session were out at once"),
    DRAINED("a dispatch went to a server later than allowed after the balancer was told that it drains or is gone"),
    PUSHED_OVER("a cold server fell over under what balancers sent who knew that it had just started");

    private final String words;

    Rule(String words) {
        this.words = words;
    }

    /** The description of a breach, as reports show it. */
    public String words() {
        return words;
    }
}
