package calicochute.backend;

import java.util.List;

/** Reads the load report that a backend server attaches to an answer or returns to a probe. */
final class LoadReport {
    private LoadReport() {
    }

    /** The values in the order of {@code fields}; null if there is no report or it is not one. */
    static double[] parse(String text, List<String> fields) {
        if (text == null || fields.isEmpty()) {
            return null;
        }
        String[] parts = text.trim().split(",");
        double[] load = new double[fields.size()];
        if (parts.length < load.length) {
            return null;
        }
        try {
            // Servers name the values in words of their own; their order is that of the settings.
            for (int i = 0; i < load.length; i++) {
                load[i] = Double.parseDouble(parts[i].substring(parts[i].indexOf('=') + 1).trim());
            }
            return load;
        } catch (NumberFormatException e) {
            return null;
        }
    }
}
