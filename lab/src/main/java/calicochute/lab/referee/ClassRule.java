package calicochute.lab.referee;

import calicochute.lab.scenario.Scenario.Effect;

/** What a session's class allows; {@code window} in microseconds from the first dispatch that may have run. */
public record ClassRule(Effect effect, long window) {}
