package calicochute.node;

import calicochute.discovery.DiscoveryClient;
import calicochute.discovery.ServerList;
import calicochute.discovery.ServerListListener;
import calicochute.discovery.WholeServerList;
import calicochute.exchange.DecisionQueue;
import calicochute.metrics.Log;
import calicochute.takeover.FirstList;
import calicochute.takeover.ListVersion;
import calicochute.takeover.SavedServerList;
import calicochute.takeover.ServerListFile;
import calicochute.takeover.WallClockOffset;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

/**
 * Shares what discovery tells one process of a balancer with its other processes, which discovery may not reach: a
 * process begins with the newest list that any of them was told, and takes over newer ones while it runs. Lists are
 * saved and read on the file thread; everything else runs on the decision thread, unless stated otherwise.
 */
final class ServerListHandover implements ServerListListener {
    /** Interval of looking for a list of another process, and of trying again to save one. */
    private static final long POLL_INTERVAL_MS = 100;
    /** The pause after a list was saved, as a multiple of the time that saving took. */
    private static final long SAVE_PAUSE_MULTIPLE = 20;
    /** Longest such pause. */
    private static final long MAX_SAVE_PAUSE_NANOS = 200_000_000;
    /** How long a process that ends waits until its last list is saved. */
    private static final long LAST_SAVE_TIMEOUT_MS = 200;

    /** Null if no other process shares a folder with this one. */
    private final ServerListFile file;

    private final FileThread fileThread;
    private final DecisionQueue queue;
    private final Membership membership;
    private final Supplier<String> discoveryAddress;
    private DiscoveryClient discovery;

    private final WholeServerList whole = new WholeServerList();
    private final WallClockOffset wallClockOffset = new WallClockOffset();
    private ListVersion version = new ListVersion(0, 0);
    private long highestGeneration;
    /** Open until discovery has answered for the first time, or a call has failed. */
    private final CountDownLatch firstCallEnded = new CountDownLatch(1);
    /** The newest list that is not saved yet. */
    private final AtomicReference<SavedServerList> unsaved = new AtomicReference<>();

    /** Earliest time of the next save, by the monotonic clock. Used on the file thread, as the next field. */
    private long nextSaveNanos = System.nanoTime();

    private boolean saveFailed;

    /**
     * @param file the file that the processes share, or null
     * @param membership gets all lists
     * @param discoveryAddress the address of discovery in force
     */
    ServerListHandover(
            ServerListFile file,
            FileThread fileThread,
            DecisionQueue queue,
            Membership membership,
            Supplier<String> discoveryAddress) {
        this.file = file;
        this.fileThread = fileThread;
        this.queue = queue;
        this.membership = membership;
        this.discoveryAddress = discoveryAddress;
    }

    /**
     * Chooses the list to begin with. Called on the starting thread, before the start.
     *
     * @param known the configuration's list, or null
     */
    FirstList firstList(ServerList known, boolean otherProcessAlive) {
        return FirstList.choose(readSaved(), known, discoveryAddress.get(), otherProcessAlive);
    }

    /** Begins with a list, from whose generation the watch continues. */
    void start(FirstList first, DiscoveryClient discoveryClient) {
        discovery = discoveryClient;
        highestGeneration = first.highestGeneration();
        Log.info("first-list", "source=" + first.source().label() + " " + describe(first.version(), first.list()));
        use(first.version(), first.list());
        wallClockOffset.update(first.wallClockOffsetMicros(), queue.now());
        membership.restored(first.list(), first.wallClockOffsetMicros());
        if (file != null) {
            fileThread.repeat(POLL_INTERVAL_MS, this::poll);
        }
    }

    private void use(ListVersion newVersion, ServerList list) {
        version = newVersion;
        whole.apply(list);
        discovery.resumeFrom(version.generation());
    }

    private static String describe(ListVersion version, ServerList list) {
        return "generation=" + version.generation() + " epoch=" + version.epoch() + " entries="
                + list.entries().size();
    }

    // ---- Discovery

    /**
     * Waits for a limited time until the process serves by what discovery has now, or discovery cannot be asked. Called
     * on the starting thread.
     */
    void awaitFirstCall(long timeoutMs) throws InterruptedException {
        boolean ended = firstCallEnded.await(timeoutMs, TimeUnit.MILLISECONDS);
        if (!ended) {
            Log.warn("list-not-awaited", "discovery has not answered within " + timeoutMs + " ms");
        }
    }

    @Override
    public void serverListReceived(ServerList told) {
        membership.serverListReceived(told);
        firstCallEnded.countDown();
        whole.apply(told);
        version = told.full() ? version.afterWhole(told.generation()) : version.afterChanges(told.generation());
        highestGeneration = Math.max(highestGeneration, told.generation());
        if (file != null) {
            unsaved.set(new SavedServerList(
                    version,
                    highestGeneration,
                    discoveryAddress.get(),
                    System.nanoTime(),
                    wallClockOffset.update(WallClockOffset.now(), queue.now()),
                    whole.snapshot(version.generation())));
            fileThread.execute(this::saveIfDue);
        }
    }

    @Override
    public void discoveryUnavailable() {
        membership.discoveryUnavailable();
        firstCallEnded.countDown();
    }

    // ---- Other processes

    private void poll() {
        saveIfDue();
        SavedServerList saved = readSaved();
        if (saved != null) {
            queue.post(() -> adopt(saved));
        }
    }

    /** The list in the file if it was changed since the last call; null for none. */
    private SavedServerList readSaved() {
        try {
            return file == null ? null : file.readIfChanged();
        } catch (IOException e) {
            Log.warn("list-not-read", String.valueOf(e.getMessage()));
            return null;
        }
    }

    private void adopt(SavedServerList saved) {
        highestGeneration = Math.max(highestGeneration, saved.highestGeneration());
        if (saved.version().isNewerThan(version)) {
            long ageMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - saved.savedAtNanos());
            Log.info("list-adopted", describe(saved.version(), saved.list()) + " age_ms=" + ageMs);
            use(saved.version(), saved.list());
            membership.adopted(saved.list());
        }
    }

    private void saveIfDue() {
        if (System.nanoTime() - nextSaveNanos >= 0) {
            save();
        }
    }

    private void save() {
        SavedServerList next = unsaved.getAndSet(null);
        if (next == null) {
            return;
        }
        long startNanos = System.nanoTime();
        if (!offer(next)) {
            // A newer one may have come since.
            unsaved.compareAndSet(null, next);
        }
        long endNanos = System.nanoTime();
        nextSaveNanos = endNanos + Math.min(MAX_SAVE_PAUSE_NANOS, (endNanos - startNanos) * SAVE_PAUSE_MULTIPLE);
    }

    /** Whether the file holds the list, or a newer one. */
    private boolean offer(SavedServerList list) {
        try {
            boolean saved = file.offer(list);
            if (saved && saveFailed) {
                Log.info("list-saved-again", describe(list.version(), list.list()));
                saveFailed = false;
            }
            return saved;
        } catch (IOException e) {
            if (!saveFailed) {
                Log.warn("list-not-saved", "tried again until it succeeds: " + e.getMessage());
            }
            saveFailed = true;
            return false;
        }
    }

    /** Saves what is not saved yet, before the process ends. Called on any thread. */
    void stop() throws InterruptedException {
        if (file != null) {
            fileThread.executeAndWait(LAST_SAVE_TIMEOUT_MS, this::save);
        }
    }
}
