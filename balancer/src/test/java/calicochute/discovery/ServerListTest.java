package calicochute.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import calicochute.settings.SettingsException;
import java.util.List;
import org.junit.jupiter.api.Test;

class ServerListTest {
    private static final String LIST = "{\"generation\":2,\"reset\":true,\"instances\":[{\"instanceId\":\"a\","
            + "\"hostPort\":\"10.1.0.18:9000\",\"lifecycle\":\"Ready\"}]}";

    @Test
    void numericAddressesAreAccepted() throws Exception {
        assertEquals("10.1.0.18", ServerList.parse(LIST).addresses().get("a").getHostString());
        assertEquals(
                9000,
                ServerList.parse(LIST.replace("10.1.0.18", "[::1]"))
                        .addresses()
                        .get("a")
                        .getPort());
    }

    /** Lists may be parsed on the decision thread: a name lookup would block it and all sessions. */
    @Test
    void hostNamesAreRejected() {
        for (String host : List.of("localhost", "no-such-host.example", "1", "::1", "999.1.1.1", "")) {
            assertThrows(SettingsException.class, () -> ServerList.parse(LIST.replace("10.1.0.18", host)), host);
        }
    }

    /** A truncated or invalid list is rejected as a whole with a SettingsException. */
    @Test
    void truncatedOrInvalidListIsRejected() {
        for (int end = 0; end < LIST.length(); end++) {
            String part = LIST.substring(0, end);
            assertThrows(SettingsException.class, () -> ServerList.parse(part), part);
        }
        for (String invalid : List.of(
                LIST + "x",
                LIST.replace("[{", "[7,{"),
                LIST.replace("\"a\"", "null"),
                LIST.replace("true", "\"yes\"").replace("\"reset\"", "\"rest\""),
                LIST.replace("2", "1e999"),
                LIST.replace("Ready", "Later"),
                LIST.replace("\"", "'"),
                "[".repeat(100_000))) {
            assertThrows(SettingsException.class, () -> ServerList.parse(invalid), invalid);
        }
    }
}
