package calicochute.lab.random;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Random number streams, one for each purpose and id, so that additional draws for one purpose do not change those of
 * another. The seed of a stream is the SHA-256 hash of the run's seed, the purpose and the id; the generator is
 * XoRoShiRo128++.
 */
public final class RandomStreams {
    private final long seed;

    public RandomStreams(long seed) {
        this.seed = seed;
    }

    public long seed() {
        return seed;
    }

    /** Creates the stream for a purpose and an id; the same arguments always give the same numbers. */
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

    /** Draws from the exponential distribution with the given mean: a time between events of a Poisson process. */
    public static double exponential(UniformRandomProvider random, double mean) {
        return ZigguratSampler.Exponential.of(random, mean).sample();
    }

    /** Draws from the lognormal distribution with the given mean and coefficient of variation. */
    public static double lognormal(UniformRandomProvider random, double mean, double coefficientOfVariation) {
        double sigmaSquared = Math.log1p(coefficientOfVariation * coefficientOfVariation);
        return Math.exp(Math.log(mean)
                - sigmaSquared / 2
                + Math.sqrt(sigmaSquared)
                        * ZigguratSampler.NormalizedGaussian.of(random).sample());
    }

    /** Draws an index with a probability proportional to its weight. */
    public static int weighted(UniformRandomProvider random, double[] weights) {
        double total = 0;
        for (double weight : weights) {
            total += weight;
        }
        double draw = random.nextDouble() * total;
        for (int i = 0; i < weights.length; i++) {
            draw -= weights[i];
            if (draw < 0) {
                return i;
            }
        }
        return weights.length - 1;
    }
}
