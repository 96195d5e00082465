package calicochute.takeover;

import calicochute.metrics.Log;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.function.LongSupplier;

/**
 * The client ids of requests that a process of this balancer may have had executed, in a file that all its processes
 * share: a hash table of fixed size, in which new ids replace the oldest of their bucket. An entry is written before
 * its request is sent on. Times are those of the system's monotonic clock, which all processes of a machine share.
 * Where the file cannot be used the caller does without it; it is tried again at the next use. Used by one thread.
 */
public final class RequestIdFile {
    private static final int BUCKETS = 1 << 12;
    private static final int ENTRIES_PER_BUCKET = 4;
    /** An id and the time at which it was added. */
    private static final int ENTRY_BYTES = 2 * Long.BYTES;

    private static final int BUCKET_BYTES = ENTRIES_PER_BUCKET * ENTRY_BYTES;
    private static final int HEXADECIMAL = 16;
    /** Spreads ids that are counted up over the buckets (Fibonacci hashing). */
    private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private final Path file;
    private final long retentionNanos;
    private final LongSupplier nanoClock;
    private final ByteBuffer bucket = ByteBuffer.allocateDirect(BUCKET_BYTES);
    private FileChannel channel;

    /** @param retentionMicros how long an id is remembered */
    public RequestIdFile(SharedFolder shared, long retentionMicros) {
        this(shared, retentionMicros, System::nanoTime);
    }

    RequestIdFile(SharedFolder shared, long retentionMicros, LongSupplier nanoClock) {
        file = shared.file(".ids");
        retentionNanos = retentionMicros * 1000;
        this.nanoClock = nanoClock;
    }

    /** Adds an id of 16 hexadecimal digits. */
    public void add(String id) {
        try {
            long number = Long.parseUnsignedLong(id, HEXADECIMAL);
            long now = nanoClock.getAsLong();
            read(number);
            int replaced = oldestEntry(number, now);
            bucket.clear();
            bucket.putLong(number).putLong(now).flip();
            writeFully(bucketPosition(number) + (long) replaced * ENTRY_BYTES);
        } catch (IOException e) {
            Log.warn("ids-not-written", String.valueOf(e.getMessage()));
            close();
        }
    }

    /** Whether a process has added the id. */
    public boolean contains(String id) {
        try {
            long number = Long.parseUnsignedLong(id, HEXADECIMAL);
            long now = nanoClock.getAsLong();
            read(number);
            for (int i = 0; i < ENTRIES_PER_BUCKET; i++) {
                if (idOf(i) == number && isValid(i, now)) {
                    return true;
                }
            }
        } catch (IOException e) {
            Log.warn("ids-not-read", String.valueOf(e.getMessage()));
            close();
        }
        return false;
    }

    /** The entry of the bucket to write: that of the same id, or the oldest. */
    private int oldestEntry(long number, long now) {
        int oldest = 0;
        for (int i = 0; i < ENTRIES_PER_BUCKET; i++) {
            if (idOf(i) == number) {
                return i;
            }
            if (ageOf(i, now) > ageOf(oldest, now)) {
                oldest = i;
            }
        }
        return oldest;
    }

    private long idOf(int entry) {
        return bucket.getLong(entry * ENTRY_BYTES);
    }

    /** An entry that no process of this run of the system can have written counts as the oldest. */
    private long ageOf(int entry, long now) {
        return isValid(entry, now) ? now - addedAt(entry) : Long.MAX_VALUE;
    }

    private boolean isValid(int entry, long now) {
        return addedAt(entry) != 0 && addedAt(entry) <= now && now - addedAt(entry) < retentionNanos;
    }

    private long addedAt(int entry) {
        return bucket.getLong(entry * ENTRY_BYTES + Long.BYTES);
    }

    private static long bucketPosition(long number) {
        return Long.remainderUnsigned((number * HASH_MULTIPLIER) >>> Integer.SIZE, BUCKETS) * BUCKET_BYTES;
    }

    /** Reads the bucket of an id; what the file does not have yet is read as zeros. */
    private void read(long number) throws IOException {
        if (channel == null) {
            channel = FileChannel.open(
                    file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
        }
        long position = bucketPosition(number);
        bucket.clear();
        int bytes = 0;
        while (bytes >= 0 && bucket.hasRemaining()) {
            bytes = channel.read(bucket, position + bucket.position());
        }
        while (bucket.hasRemaining()) {
            bucket.put((byte) 0);
        }
        bucket.clear();
    }

    private void writeFully(long position) throws IOException {
        while (bucket.hasRemaining()) {
            channel.write(bucket, position + bucket.position());
        }
    }

    private void close() {
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            Log.warn("ids-not-written", String.valueOf(e.getMessage()));
        }
        channel = null;
    }
}
