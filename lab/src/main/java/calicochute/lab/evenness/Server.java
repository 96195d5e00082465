package calicochute.lab.evenness;

/** A server of a tier; {@code capacity} is the work that it does in a unit of time, warm and undisturbed. */
public record Server(String id, String zone, String kind, double capacity) {}
