package org.apache.hc.core5.reactor;

import java.nio.channels.SocketChannel;

/**
 * Passes an accepted connection to a worker of a reactor. HttpCore's listening reactor binds its own socket and cannot
 * adopt one that is already listening, and its handover of accepted connections is package-private. This class
 * therefore lives in HttpCore's package; its test fails if a library upgrade changes the methods used.
 */
public final class ChannelBridge {
    private ChannelBridge() {}

    /** Passes on the channel; the worker makes it non-blocking and closes it. */
    public static void adopt(DefaultConnectingIOReactor reactor, SocketChannel channel) {
        reactor.getWorkerSelector().next().enqueueChannel(new ChannelEntry(channel, null));
    }
}
