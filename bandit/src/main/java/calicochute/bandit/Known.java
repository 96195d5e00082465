package calicochute.bandit;

import java.util.Collection;
import java.util.NavigableMap;

/** What is known of one start of a server: the posterior, whether it is sick, and the correction of its load. */
final class Known {
    /**
     * Logs below the kind's: half a sick server's way back, sick, and where latency begins to count for more than
     * capacity and does alone.
     */
    static final double WELL = -0.9;

    static final double SICK = -1.1;
    static final double TROUBLE = -0.5;
    static final double BROKEN = -0.9;
    /** Samples that what it was before a restart is worth. */
    private static final double RESTARTED = 2;
    /** Windows in which good tries add up, and after which being well is no relapse's matter any more. */
    private static final int LOOK = 5;

    private static final int LASTING = 15;
    private final Setting setting;
    /** What it was before it started anew, NaN: not known. */
    private final double before;

    long startedAt;
    double samples;
    double raw;
    double dispatches;
    private double ok;
    private double failed;
    private double apart;
    boolean sick;
    boolean hopeful;
    /** Was sick, and is no longer: what is known of its kind stands in until there are samples. */
    private boolean returning;

    private int relapses;
    /** Rows up to this window are of before the last change. */
    private long since = Long.MIN_VALUE / 2;

    private long corrected = Long.MIN_VALUE;
    /** Log of the factor by which its dispatches are to change, beyond what its speed says. */
    double bias;
    // The posterior of the log speed, and the success rate.
    double mean;
    double width;
    private double worth;
    double success = 1;

    Known(Setting setting, long startedAt, Known before) {
        this.setting = setting;
        this.startedAt = startedAt;
        this.before = before == null ? Double.NaN : before.mean;
    }

    /** Adds up the last windows. */
    void see(long now, Collection<Sight> sights) {
        samples = raw = dispatches = ok = failed = apart = 0;
        for (Sight s : sights) {
            double weight = weight(now, s.window());
            dispatches += weight * s.dispatches();
            if (s.window() <= since) {
                continue;
            }
            ok += weight * (s.dispatches() - s.failed());
            failed += weight * s.failed();
            samples += weight * s.answered();
            raw += weight * s.answered() * s.log();
            apart += weight * s.answered() * s.apart();
        }
        raw = samples == 0 ? 0 : raw / samples;
        apart = samples == 0 ? 0 : apart / samples;
    }

    private double weight(long now, long window) {
        return Math.exp(-(double) Math.max(0, now - (window + 1) * setting.window()) / setting.age());
    }

    /**
     * The posterior, from the kind's mean log speed and success rate. A kind's mean counts little for one that is far
     * off it.
     */
    void judge(double kind, double kindSuccess) {
        double prior = Double.isNaN(before) ? kind : 0.75 * kind + 0.25 * before;
        double off =
                (raw - prior) / (2 * Math.sqrt(setting.noise() / (samples + 1) + setting.noise() / setting.alike()));
        double alike = setting.alike() / (1 + (samples == 0 ? 0 : off * off));
        double own = samples < 1 ? 0 : 1 / (1 / samples + apart / setting.noise());
        mean = (own * raw + alike * prior) / (own + alike);
        width = Math.sqrt(setting.noise() / (own + alike) + apart);
        worth = Math.min(setting.most(), setting.noise() / (width * width));
        // The prior of a success rate is worth less the further off the rate is, as above.
        double doubt = kindSuccess - (ok + failed == 0 ? kindSuccess : ok / (ok + failed));
        double like = setting.alike() / (1 + 16 * doubt * doubt);
        success = (ok + like * kindSuccess) / (ok + failed + like);
    }

    /**
     * The posterior's worth: what the witnesses differ by is the floor of its variance, however many samples there are.
     */
    double worth() {
        return samples >= 1 || returning ? worth : Double.isNaN(before) ? 0 : RESTARTED;
    }

    /**
     * From the newest windows: sick at once, and back at once after a few tries that went well; after a relapse only
     * after nothing but good ones.
     */
    void health(NavigableMap<Long, Sight> sights, double kind) {
        Sight newest = sights.lastEntry().getValue();
        if (newest.window() <= since) {
            return;
        }
        double below = newest.log() - kind;
        if (!sick) {
            boolean fails = newest.failed() >= 2 && newest.failing() >= 0.5;
            boolean slow = newest.answered() >= 4 && newest.witnesses() >= 3 && below <= SICK;
            if (fails || slow) {
                relapses = newest.window() - since > LASTING ? 0 : relapses;
                sick = true;
                hopeful = false;
                since = newest.window();
            }
            return;
        }
        double clean = 0;
        for (Sight s : sights.tailMap(Math.max(since, newest.window() - LOOK), false)
                .descendingMap()
                .values()) {
            if (s.bad() > 0 || s.log() - kind < WELL) {
                break;
            }
            clean += s.answered();
        }
        hopeful = newest.answered() >= 1 && below >= WELL;
        // Two good tries, also beside bad ones of before its return; or one and nothing bad, where tries are rare.
        boolean enough =
                clean >= 2 || relapses == 0 && hopeful && (newest.answered() >= 2 || clean >= 1 && below >= WELL / 2);
        if (enough) {
            sick = false;
            returning = true;
            relapses++;
            since = newest.window();
            bias = 0;
        }
    }

    /** Load by speed: at equal load by capacity the dispatches are as the speeds. Once for each window. */
    void correct(long window, double wanted, double seen) {
        // What was sent before its way back says nothing of the share it is given now.
        if (window <= corrected || returning && window <= since + 2) {
            return;
        }
        corrected = window;
        double off = seen <= 0 ? 0.5 : Math.max(-0.5, Math.min(0.5, Math.log(wanted / seen)));
        bias = Math.max(
                -1.5,
                Math.min(
                        1.5,
                        setting.keep() * bias + setting.gain() * off * dispatches / (dispatches + setting.alike())));
    }
}
