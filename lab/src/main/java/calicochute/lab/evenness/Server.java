package calicochute.lab.evenness;

/** A server of a tier; {@code capacity} is the work that it does in a unit of time when warm and hit by no trouble. */
public record Server(String id, String zone, String kind, double capacity) {}
