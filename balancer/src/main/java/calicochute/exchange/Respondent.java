package calicochute.exchange;

/** The client's side of a session, whatever protocol the client speaks. */
public interface Respondent {
    /** Passes the final answer on; must not block. */
    void answer(Answer answer);
}
