package calicochute.outcomes;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/**
 * Bodies as they may come from anybody: true ones cut, lengthened and changed. As a main: a million of them, or as many
 * as the argument says.
 */
final class Fuzz {
    private static final long NOW = 1_000_000_000;

    private Fuzz() {}

    public static void main(String[] args) {
        System.out.println(run(args.length == 0 ? 1_000_000 : Integer.parseInt(args[0]), 1)
                .counts()
                .all());
    }

    static Sharing run(int bodies, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Sharing sharing = new Sharing(new Origin("me", 1), Windows.USUAL, new SharingTest.Sent("me", "a", "b"));
        List<Subject> subjects = IntStream.range(0, 60)
                .mapToObj(i -> new Subject("s" + i, 1, "a", ""))
                .toList();
        sharing.known(subjects);
        for (int i = 0; i < bodies; i++) {
            long now = NOW + i * 100L;
            long window = Windows.USUAL.number(now) - random.nextInt(4);
            boolean report = random.nextBoolean();
            byte[] body = report ? report(random, subjects, window) : rows(random, subjects, window);
            body = mutated(random, body);
            if (report) {
                sharing.heardDirect(now, "p" + random.nextInt(50), random.nextInt(3), body);
            } else {
                sharing.heardSpread(now, "p" + random.nextInt(50), 1, "k", window * 64 + 1, body);
            }
            if (i % 500 == 0) {
                sharing.tick(now);
                check(sharing, now);
            }
        }
        return sharing;
    }

    private static void check(Sharing sharing, long now) {
        int rows = (Limits.USUAL.subjects() + Limits.USUAL.unknown()) * Limits.USUAL.rows();
        if (sharing.held() > Limits.USUAL.entries() + rows) {
            throw new AssertionError("held: " + sharing.held());
        }
        for (Row row : sharing.picture().rows(now)) {
            Summed summed = new Summed(
                    row.subject().hash(), row.witnesses(), row.sum(), row.clipped(), row.middle(), row.between());
            if (!summed.possible(Limits.USUAL)) {
                throw new AssertionError("impossible: " + row);
            }
        }
    }

    private static Tally tally(SplittableRandom random) {
        Tally tally = Tally.NONE;
        for (int i = random.nextInt(1, 6); i > 0; i--) {
            tally = tally.plus(Tally.of(End.values()[random.nextInt(8)], random.nextDouble(-3, 3)));
        }
        return tally;
    }

    private static byte[] report(SplittableRandom random, List<Subject> subjects, long window) {
        List<Bodies.Entry> entries = new ArrayList<>();
        for (int i = random.nextInt(1, 6); i > 0; i--) {
            entries.add(new Bodies.Entry(subjects.get(random.nextInt(60)).hash(), tally(random)));
        }
        return Bodies.reports(window, entries, 1000).get(0);
    }

    private static byte[] rows(SplittableRandom random, List<Subject> subjects, long window) {
        List<Summed> rows = new ArrayList<>();
        for (int i = random.nextInt(1, 5); i > 0; i--) {
            rows.add(Summed.of(subjects.get(random.nextInt(60)).hash(), List.of(tally(random), tally(random)), 3));
        }
        return Bodies.rows(window, rows);
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
            int at = random.nextInt(other.length);
            other[at] = (byte) (random.nextBoolean() ? random.nextInt(256) : other[at] ^ 1 << random.nextInt(8));
        }
        return other;
    }
}
