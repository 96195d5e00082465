package calicochute.backend;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Reads the load report that a backend server attaches to an answer or returns to a probe. */
final class LoadReport {
    private LoadReport() {
    }

    /**
     * The values in the order of {@code fields}; null if there is no report or it is not one. Guards against values
     * that would spoil every estimate they enter: what is no number, endless or negative is no report.
     */
    static double[] parse(String text, List<String> fields) {
        if (text == null || fields.isEmpty()) {
            return null;
        }
        String[] parts = text.trim().split(",");
        if (parts.length < fields.size()) {
            return null;
        }
        Map<String, Double> named = new HashMap<>();
        double[] load = new double[fields.size()];
        try {
            for (int i = 0; i < parts.length; i++) {
                int sign = parts[i].indexOf('=');
                double value = Double.parseDouble(parts[i].substring(sign + 1).trim());
                if (!(value >= 0 && value < Double.POSITIVE_INFINITY)) {
                    return null;
                }
                if (i < load.length) {
                    load[i] = value;
                }
                named.put(parts[i].substring(0, Math.max(0, sign)).trim(), value);
            }
        } catch (NumberFormatException e) {
            return null;
        }
        // By name where the server uses the settings' names, else by their order.
        for (int i = 0; i < load.length && named.keySet().containsAll(fields); i++) {
            load[i] = named.get(fields.get(i));
        }
        return load;
    }
}
