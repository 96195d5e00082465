package calicochute.outcomes;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * Feeds message bodies as anybody may send them: valid bodies that were truncated, extended or changed. The main method
 * sends a million of them, or as many as its argument says.
 */
final class MessageFuzzer {
    private static final long START_MICROS = 1_000_000_000;

    private MessageFuzzer() {}

    public static void main(String[] args) {
        System.out.println(run(args.length == 0 ? 1_000_000 : Integer.parseInt(args[0]), 1)
                .counts()
                .all());
    }

    static OutcomeSharing run(int bodies, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        OutcomeSharing sharing = new OutcomeSharing(
                new Origin("me", 1), Windows.DEFAULT, new OutcomeSharingTest.RecordingTransport("me", "a", "b"));
        List<OutcomeKey> keys = IntStream.range(0, 60)
                .mapToObj(i -> new OutcomeKey("s" + i, 1, "a", ""))
                .toList();
        sharing.setKnownKeys(keys);
        for (int i = 0; i < bodies; i++) {
            long now = START_MICROS + i * 100L;
            long window = Windows.DEFAULT.number(now) - random.nextInt(4);
            boolean report = random.nextBoolean();
            byte[] body = report ? report(random, keys, window) : rows(random, keys, window);
            body = mutated(random, body);
            if (report) {
                sharing.onReport(now, "p" + random.nextInt(50), random.nextInt(3), body);
            } else {
                sharing.onRows(now, "p" + random.nextInt(50), 1, "k", window * 64 + 1, body);
            }
            if (i % 500 == 0) {
                sharing.tick(now);
                check(sharing, now);
            }
        }
        return sharing;
    }

    private static void check(OutcomeSharing sharing, long now) {
        int maxRows = (Limits.DEFAULT.maxKeys() + Limits.DEFAULT.maxUnknownKeys()) * Limits.DEFAULT.windowsPerKey();
        if (sharing.size() > Limits.DEFAULT.maxTallies() + maxRows) {
            throw new AssertionError("stored entries: " + sharing.size());
        }
        for (AggregateRow row : sharing.snapshot().rows(now)) {
            Aggregate aggregate = new Aggregate(
                    row.key().hash(),
                    row.reporters(),
                    row.sum(),
                    row.clipped(),
                    row.medianLogSpeed(),
                    row.varianceBetweenReporters());
            if (!aggregate.isPlausible(Limits.DEFAULT)) {
                throw new AssertionError("implausible: " + row);
            }
        }
    }

    private static Tally tally(SplittableRandom random) {
        Tally tally = Tally.EMPTY;
        for (int i = random.nextInt(1, 6); i > 0; i--) {
            tally = tally.plus(Tally.of(DispatchResult.values()[random.nextInt(8)], random.nextDouble(-3, 3)));
        }
        return tally;
    }

    private static byte[] report(SplittableRandom random, List<OutcomeKey> keys, long window) {
        List<MessageCodec.Entry> entries = new ArrayList<>();
        for (int i = random.nextInt(1, 6); i > 0; i--) {
            entries.add(new MessageCodec.Entry(keys.get(random.nextInt(60)).hash(), tally(random)));
        }
        return MessageCodec.encodeReports(window, entries, 1000).get(0);
    }

    private static byte[] rows(SplittableRandom random, List<OutcomeKey> keys, long window) {
        List<Aggregate> rows = new ArrayList<>();
        for (int i = random.nextInt(1, 5); i > 0; i--) {
            rows.add(Aggregate.of(keys.get(random.nextInt(60)).hash(), List.of(tally(random), tally(random)), 3));
        }
        return MessageCodec.encodeRows(window, rows);
    }

    private static byte[] mutated(SplittableRandom random, byte[] body) {
        byte[] other = java.util.Arrays.copyOf(
                body,
                switch (random.nextInt(8)) {
                    case 0 -> random.nextInt(body.length + 1);
                    case 1 -> body.length + random.nextInt(1, 1200);
                    default -> body.length;
                });
        for (int i = random.nextInt(4); i > 0 && other.length > 0; i--) {
            int index = random.nextInt(other.length);
            other[index] = (byte) (random.nextBoolean() ? random.nextInt(256) : other[index] ^ 1 << random.nextInt(8));
        }
        return other;
    }
}
