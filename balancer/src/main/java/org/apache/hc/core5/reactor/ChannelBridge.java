package org.apache.hc.core5.reactor;

import java.nio.channels.SocketChannel;

/**
 * Hands an accepted connection to a reactor's worker. HttpCore's listening reactor binds for itself and can't adopt a
 * socket that is listening already; what it does with a connection it accepted is package-private. Hence this class, in
 * that package: its test fails if an upgrade of the library changes these two names.
 */
public final class ChannelBridge {
    private ChannelBridge() {}

    /** The channel is made non-blocking by the worker; closing it is the worker's from here on. */
    public static void adopt(DefaultConnectingIOReactor reactor, SocketChannel channel) {
        reactor.getWorkerSelector().next().enqueueChannel(new ChannelEntry(channel, null));
    }
}
