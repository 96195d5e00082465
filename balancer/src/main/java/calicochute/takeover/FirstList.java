package calicochute.takeover;

import calicochute.discovery.ServerList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The server list that a process begins with, before its first call to discovery is answered.
 *
 * @param source where it is from
 * @param version of the list
 * @param highestGeneration the highest generation that this balancer has had, as far as is known
 * @param wallClockOffsetMicros the {@link WallClockOffset} by which the list's starts are to be read
 * @param list the list
 */
public record FirstList(
        Source source, ListVersion version, long highestGeneration, long wallClockOffsetMicros, ServerList list) {
    /** Where a first list is from. */
    public enum Source {
        /** Saved by a process of this balancer. */
        HANDED_OVER,
        /** The list in the configuration file. */
        CONFIGURATION,
        /** There is no list. */
        NONE;

        /** The name in the log. */
        public String label() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    /**
     * Chooses the newer one of the saved list and the configuration's. The saved one counts as newer unless the
     * configuration's has a higher generation than the balancer was ever told. Generations of two addresses of
     * discovery say nothing about which list is newer: then the saved one is taken as long as another process of this
     * balancer, which serves by it, is alive.
     *
     * @param saved the saved list, or null
     * @param known the configuration's list, or null
     * @param discovery the configuration's address of discovery
     */
    public static FirstList choose(
            SavedServerList saved, ServerList known, String discovery, boolean otherProcessAlive) {
        if (saved == null) {
            return known == null ? none() : ofConfiguration(0, known);
        }
        boolean comparable = discovery.equals(saved.discovery());
        boolean knownIsNewer = known != null && known.generation() > saved.highestGeneration();
        if (knownIsNewer && (comparable || !otherProcessAlive)) {
            return ofConfiguration(
                    comparable ? saved.version().epoch() : saved.version().epoch() + 1, known);
        }
        return new FirstList(
                Source.HANDED_OVER,
                saved.version(),
                saved.highestGeneration(),
                saved.wallClockOffsetMicros(),
                saved.list());
    }

    private static FirstList none() {
        ServerList empty = new ServerList(0, true, List.of(), Map.of());
        return new FirstList(Source.NONE, new ListVersion(0, 0), 0, WallClockOffset.now(), empty);
    }

    private static FirstList ofConfiguration(long epoch, ServerList known) {
        ListVersion version = new ListVersion(epoch, known.generation());
        return new FirstList(Source.CONFIGURATION, version, known.generation(), WallClockOffset.now(), known);
    }
}
