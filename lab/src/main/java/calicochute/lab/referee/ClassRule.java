package calicochute.lab.referee;

import calicochute.lab.scenario.Scenario.Effect;

/**
 * When a session of a class may be dispatched again. {@code window} applies to keyed sessions: the microseconds from
 * the first dispatch that may have run within which another dispatch is allowed.
 */
public record ClassRule(Effect effect, long window) {}
