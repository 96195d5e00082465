package calicochute.bandit;

/**
 * What the fleet knows of one start of a server. The reader's estimate is own * k + speed * (1 - k) with k = ownSamples
 * / (ownSamples + worth); where its own estimate is under a third of the typical, its own stands (its path may be the
 * broken one).
 *
 * @param speed 1: the fleet's typical; 0 to 3; failures count as speed 0
 * @param worth in own samples; 0: nothing is known
 * @param sick the fleet's tries alone go there
 * @param mayTry this balancer's turn: one dispatch each time this turns true, of a class that may run twice
 */
public record Advice(String server, long startedAt, double speed, double worth, boolean sick, boolean mayTry) {}
