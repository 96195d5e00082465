package calicochute.lab.server;

import calicochute.lab.scenario.Scenario.Sluggish;

/**
 * Decides whether a machine is sluggish. It becomes sluggish once the number of waiting requests per core has stayed
 * above a limit for some time, and recovers when its utilisation has stayed low for some time, or after a maximum time.
 * A state machine without I/O; times are in microseconds.
 */
final class SluggishState {
    private final Sluggish rule;
    private long overloadedSince = -1;
    private long idleSince = -1;
    private long sluggishSince = -1;

    SluggishState(Sluggish rule) {
        this.rule = rule;
    }

    /** Takes the machine's present state: waiting requests per core, and the share of its cores that is in use. */
    void update(long now, double waitingPerCore, double utilisation) {
        if (rule == null) {
            return;
        }
        if (sluggishSince < 0) {
            overloadedSince = waitingPerCore < rule.at() ? -1 : overloadedSince < 0 ? now : overloadedSince;
            if (overloadedSince >= 0 && now - overloadedSince >= rule.after().micros()) {
                sluggishSince = now;
                overloadedSince = -1;
                idleSince = -1;
            }
            return;
        }
        idleSince = utilisation >= rule.below() ? -1 : idleSince < 0 ? now : idleSince;
        if (idleSince >= 0 && now - idleSince >= rule.rest().micros()
                || now - sluggishSince >= rule.most().micros()) {
            sluggishSince = -1;
        }
    }

    boolean isSluggish() {
        return sluggishSince >= 0;
    }

    /** The factor by which the machine is slower now; 1 if it is not sluggish. */
    double slowdown() {
        return isSluggish() ? rule.slower() : 1;
    }
}
