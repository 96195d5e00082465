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
    void numbersAreTaken() throws Exception {
        assertEquals("10.1.0.18", ServerList.parse(LIST).addresses().get("a").getHostString());
        assertEquals(
                9000,
                ServerList.parse(LIST.replace("10.1.0.18", "[::1]"))
                        .addresses()
                        .get("a")
                        .getPort());
    }

    /** Read on the decision thread: a name would be looked up there, while all sessions wait. */
    @Test
    void namesAreNotLookedUp() {
        for (String host : List.of("localhost", "no-such-host.example", "1", "::1", "999.1.1.1", "")) {
            assertThrows(SettingsException.class, () -> ServerList.parse(LIST.replace("10.1.0.18", host)), host);
        }
    }

    /** Wherever a list is cut or spoilt it is refused whole, with a plain error. */
    @Test
    void aPartIsNoList() {
        for (int end = 0; end < LIST.length(); end++) {
            String part = LIST.substring(0, end);
            assertThrows(SettingsException.class, () -> ServerList.parse(part), part);
        }
        for (String wrong : List.of(
                LIST + "x",
                LIST.replace("[{", "[7,{"),
                LIST.replace("\"a\"", "null"),
                LIST.replace("true", "\"yes\"").replace("\"reset\"", "\"rest\""),
                LIST.replace("2", "1e999"),
                LIST.replace("Ready", "Later"),
                LIST.replace("\"", "'"),
                "[".repeat(100_000))) {
            assertThrows(SettingsException.class, () -> ServerList.parse(wrong), wrong);
        }
    }
}
