package calicochute.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Values that no decision could be computed from are rejected with the name of their path; accepted, they would show up
 * later as a fault or as NaN.
 */
class SettingsParserTest {
    private static Map<String, String> with(String path, String value) {
        Map<String, String> values = new HashMap<>(
                Map.of("nonce64", "1", "classes.count", "1", "classes.0.name", "c", "accounts.count", "1"));
        values.put(path, value);
        return values;
    }

    @ParameterizedTest
    @CsvSource({
        "classes.0.objective,0",
        "classes.0.objective,-1",
        "classes.0.deadline,0",
        "classes.0.window,-1",
        "classes.0.deadline,9000000000000000000",
        "classes.0.points,-1",
        "classes.0.late_worth,NaN",
        "tick,0",
        "me,-1",
        "balancers,-1",
        "balancers,4294967297",
        "caps.max_open,4294967296",
        "caps.max_attempts,0",
        "caps.max_attempts,1.5",
        "caps.connect_timeout,-1",
        "caps.max_retry_after,-1",
        "obligations.cold_from,NaN",
        "obligations.fall_multiple,1e999",
        "obligations.fall,-3",
        "accounts.0.allowance_per_s,Infinity",
        "prices.cross_zone,-Infinity",
        "classes.count,-1"
    })
    void outOfRangeValueIsNamed(String path, String value) {
        String message = assertThrows(SettingsException.class, () -> SettingsParser.parse(with(path, value)))
                .getMessage();
        assertTrue(message.contains(path) && message.contains(value), message);
    }

    @Test
    void boundaryValuesAreAccepted() throws SettingsException {
        assertEquals(
                0, SettingsParser.parse(with("caps.max_open", "0")).limits().maxOpen());
        assertEquals(
                1,
                SettingsParser.parse(with("classes.0.objective", "1"))
                        .classes()
                        .get(0)
                        .objective());
        assertEquals(
                3_000_000,
                SettingsParser.parse(with("obligations.fall", "3e6")).rules().overloadWindow());
        assertEquals(30_000_000, SettingsParser.time(with("caps.conn_idle", "3e7"), "caps.conn_idle", 5));
        assertThrows(
                SettingsException.class, () -> SettingsParser.time(with("caps.conn_idle", "0"), "caps.conn_idle", 5));
    }
}
