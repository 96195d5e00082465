package calicochute.lab.chance;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Random numbers, a stream of their own for each purpose and id: what is added for one purpose does not shift the draws
 * of another. A stream's seed is the hash of run's seed, purpose and id (SHA-256), its generator XoRoShiRo128++.
 */
public final class Streams {
    private final long seed;

    public Streams(long seed) {
        this.seed = seed;
    }

    public long seed() {
        return seed;
    }

    /** The stream for a purpose and an id; the same arguments always give the same numbers. */
    public UniformRandomProvider of(String purpose, long id) {
        try {
            MessageDigest hash = MessageDigest.getInstance("SHA-256");
            hash.update(ByteBuffer.allocate(16).putLong(seed).putLong(id).flip());
            ByteBuffer digest = ByteBuffer.wrap(hash.digest(purpose.getBytes(StandardCharsets.UTF_8)));
            return RandomSource.XO_RO_SHI_RO_128_PP.create(new long[] {digest.getLong(), digest.getLong()});
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A waiting time with the given mean, as between the events of a Poisson process. */
    public static double exponential(UniformRandomProvider from, double mean) {
        return ZigguratSampler.Exponential.of(from, mean).sample();
    }

    /** A lognormal figure with the given mean and coefficient of variation. */
    public static double lognormal(UniformRandomProvider from, double mean, double variation) {
        double sigma2 = Math.log1p(variation * variation);
        return Math.exp(Math.log(mean)
                - sigma2 / 2
                + Math.sqrt(sigma2)
                        * ZigguratSampler.NormalizedGaussian.of(from).sample());
    }

    /** An index, each with its weight. */
    public static int weighted(UniformRandomProvider from, double[] weights) {
        double all = 0;
        for (double weight : weights) {
            all += weight;
        }
        double draw = from.nextDouble() * all;
        for (int i = 0; i < weights.length; i++) {
            draw -= weights[i];
            if (draw < 0) {
                return i;
            }
        }
        return weights.length - 1;
    }
}
