package calicochute.lab.server;

import calicochute.lab.scenario.Scenario.Sluggish;

/**
 * Whether a machine has turned sluggish: it does once far more requests than cores have waited for long, and recovers
 * only when it has been mostly idle for a while, or after the longest time. A state machine without I/O; times in
 * microseconds.
 */
final class SluggishState {
    private final Sluggish rule;
    private long crowdedSince = -1;
    private long restingSince = -1;
    private long sluggishSince = -1;

    SluggishState(Sluggish rule) {
        this.rule = rule;
    }

    /** Looks at a machine: how many wait for each core, and the part of its cores in use. */
    void look(long now, double waitingPerCore, double use) {
        if (rule == null) {
            return;
        }
        if (sluggishSince < 0) {
            crowdedSince = waitingPerCore < rule.at() ? -1 : crowdedSince < 0 ? now : crowdedSince;
            if (crowdedSince >= 0 && now - crowdedSince >= rule.after().micros()) {
                sluggishSince = now;
                crowdedSince = -1;
                restingSince = -1;
            }
            return;
        }
        restingSince = use >= rule.below() ? -1 : restingSince < 0 ? now : restingSince;
        if (restingSince >= 0 && now - restingSince >= rule.rest().micros()
                || now - sluggishSince >= rule.most().micros()) {
            sluggishSince = -1;
        }
    }

    boolean sluggish() {
        return sluggishSince >= 0;
    }

    double slower() {
        return sluggish() ? rule.slower() : 1;
    }
}
