package calicochute.takeover;

import calicochute.discovery.ServerList;

/**
 * A whole server list as one process of a balancer has saved it for the others.
 *
 * @param version of the list
 * @param highestGeneration the highest generation that the processes were told in any epoch: a list of at most that
 *     generation is older than this one
 * @param discovery address of the discovery service that the process used
 * @param savedAtNanos when it was saved, by the system's monotonic clock
 * @param wallClockOffsetMicros the {@link WallClockOffset} by which the list's starts are to be read
 * @param list the list
 */
public record SavedServerList(
        ListVersion version,
        long highestGeneration,
        String discovery,
        long savedAtNanos,
        long wallClockOffsetMicros,
        ServerList list) {}
