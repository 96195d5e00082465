package calicochute.process;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A discovery service with whole lists and watches; while it is down it closes each connection without a response. */
final class ScriptedDiscovery implements AutoCloseable {
    final ScriptedServer server;
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final Map<String, Long> changedAt = new LinkedHashMap<>();
    private long generation = 1;
    private boolean wholeNext;
    private boolean down;

    ScriptedDiscovery(ScriptedServer... ready) throws Exception {
        for (ScriptedServer each : ready) {
            put(each, "Ready", 0);
        }
        server = new ScriptedServer(this::respond);
    }

    /** Changes the entry of a server, under the next generation. */
    synchronized void set(ScriptedServer of, String lifecycle, long startedAtMs) {
        generation++;
        put(of, lifecycle, startedAtMs);
        notifyAll();
    }

    private void put(ScriptedServer of, String lifecycle, long startedAtMs) {
        String id = "s" + of.address();
        entries.put(
                id,
                "{\"instanceId\":\"" + id + "\",\"hostPort\":\"" + of.address()
                        + "\",\"zone\":\"a\",\"cell\":0,\"lifecycle\":\"" + lifecycle
                        + "\",\"weight\":1.0,\"startedAtMs\":" + startedAtMs + "}");
        changedAt.put(id, generation);
    }

    /** Goes down, which ends the calls in progress, or comes back. */
    synchronized void setDown(boolean isDown) {
        down = isDown;
        notifyAll();
    }

    /** Begins the generations anew; {@code tellsWhole}: the next response is the whole list, even if not requested. */
    synchronized void restart(boolean tellsWhole) {
        generation = 1;
        changedAt.replaceAll((id, at) -> 1L);
        wholeNext = tellsWhole;
        notifyAll();
    }

    private synchronized byte[] respond(HttpMessage request) throws Exception {
        long since = number(request, "since", -1);
        long endNanos = System.nanoTime() + number(request, "timeout_ms", 0) * 1_000_000;
        while (!down && !wholeNext && generation <= since && System.nanoTime() < endNanos) {
            wait(Math.max(1, (endNanos - System.nanoTime()) / 1_000_000));
        }
        if (down) {
            return null;
        }
        boolean whole = wholeNext || since < 0;
        wholeNext = false;
        StringBuilder instances = new StringBuilder();
        entries.forEach((id, entry) -> {
            if (whole || changedAt.get(id) > since) {
                instances.append(instances.isEmpty() ? "" : ",").append(entry);
            }
        });
        return HttpMessage.response(
                200,
                "",
                "{\"generation\":" + generation + ",\"reset\":" + whole + ",\"instances\":[" + instances + "]}");
    }

    private static long number(HttpMessage request, String name, long otherwise) {
        Matcher parameter = Pattern.compile("[?&]" + name + "=(\\d+)").matcher(request.firstLine());
        return parameter.find() ? Long.parseLong(parameter.group(1)) : otherwise;
    }

    @Override
    public void close() throws IOException {
        setDown(true);
        server.close();
    }
}
