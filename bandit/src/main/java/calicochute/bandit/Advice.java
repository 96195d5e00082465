package calicochute.bandit;

/**
 * What the fleet knows of one start of a server. The reader's estimate is own * k + speed * (1 - k) with k = ownSamples
 * / (ownSamples + worthSamples). Where the reader's own estimate is under a third of the typical speed it uses that
 * alone, since the fault may be on its own path.
 *
 * @param server the server's id
 * @param startedAt when the server started, as discovery says (microseconds)
 * @param speed relative to the fleet's typical speed (1); 0 to 3; failures count as speed 0
 * @param worthSamples how many own samples the speed is worth; 0 where nothing is known
 * @param unhealthy whether only the fleet's trials may go to the server
 * @param mayTry whether it is this balancer's turn: one trial each time this becomes true, of a class whose requests
 *     may be executed twice
 */
public record Advice(
        String server, long startedAt, double speed, double worthSamples, boolean unhealthy, boolean mayTry) {}
