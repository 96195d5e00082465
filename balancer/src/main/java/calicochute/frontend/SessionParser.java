package calicochute.frontend;

import calicochute.decision.Balancer.Effect;
import calicochute.decision.Balancer.RequestClass;
import calicochute.exchange.Body;
import calicochute.exchange.Exchange;
import calicochute.exchange.Field;
import calicochute.exchange.Message;
import calicochute.exchange.RequestProgress;
import calicochute.exchange.SessionClient;
import calicochute.exchange.SessionMemory;
import calicochute.settings.SettingsHistory;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;

/** Extracts the fields that decisions need from a request head, and rejects requests that are not valid sessions. */
final class SessionParser {
    /** Header fields that belong to one connection, or that the dispatch sets itself. */
    private static final Set<String> NOT_FORWARDED = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect",
            "x-remaining-ms");

    /** The client's ID for a session: 16 hex digits. */
    private static final Pattern CLIENT_ID = Pattern.compile("[0-9a-fA-F]{16}");

    private static final long MAX_CLIENT_TIMEOUT_MS = 3_600_000;
    private final AtomicLong lastId = new AtomicLong();
    private final Supplier<SettingsHistory> settings;

    /** The request is not a valid session; carries the HTTP status to answer with. */
    static final class BadInputException extends Exception {
        private static final long serialVersionUID = 1L;
        final int status;

        BadInputException(int status, String message) {
            super(message);
            this.status = status;
        }
    }

    SessionParser(Supplier<SettingsHistory> settings) {
        this.settings = settings;
    }

    /** Creates the exchange of a request, or throws if the request is not a valid session. */
    Exchange parse(
            HttpRequest request,
            Body body,
            RequestProgress progress,
            long nowMicros,
            SessionMemory memory,
            SessionClient client)
            throws BadInputException {
        String clientId = singleHeader(request, "X-Txn", true);
        if (!CLIENT_ID.matcher(clientId).matches()) {
            throw new BadInputException(400, "X-Txn is not 16 hex digits");
        }
        // Read once: a session keeps the settings it began with.
        SettingsHistory currentSettings = settings.get();
        int classIndex =
                requireKnown(currentSettings.classIndex(singleHeader(request, "X-Lane", true), nowMicros), "X-Lane");
        boolean hasTenants = !currentSettings.current().tenants().isEmpty();
        String tenant = singleHeader(request, "X-Org", hasTenants);
        int tenantIndex = hasTenants ? requireKnown(currentSettings.tenantIndex(tenant, nowMicros), "X-Org") : -1;
        long clientTimeoutMicros = 1000 * parseTimeoutMs(singleHeader(request, "X-Remaining-Ms", true));
        RequestClass requestClass = currentSettings.classes().get(classIndex);
        if (!request.getMethod().equals(requestClass.effect() == Effect.REPEATABLE ? "GET" : "POST")) {
            throw new BadInputException(
                    405, request.getMethod() + " does not go with the class " + requestClass.name());
        }
        // Without its key a backend server could not recognize a repeated dispatch of the session.
        String idempotencyKey = singleHeader(request, "Idempotency-Key", requestClass.effect() == Effect.KEYED);
        if (idempotencyKey != null && idempotencyKey.isBlank()) {
            throw new BadInputException(400, "Idempotency-Key is empty");
        }
        Message message = new Message(request.getMethod(), request.getPath(), forwardedFields(request), body);
        return new Exchange(
                lastId.incrementAndGet(),
                clientId,
                message,
                classIndex,
                tenantIndex,
                currentSettings.current().limits(),
                "1".equals(singleHeader(request, "X-Resent", false)),
                nowMicros,
                clientTimeoutMicros,
                progress,
                memory,
                client);
    }

    private static List<Field> forwardedFields(HttpRequest request) {
        List<Field> fields = new ArrayList<>();
        for (Header header : request.getHeaders()) {
            if (!NOT_FORWARDED.contains(header.getName().toLowerCase(Locale.ROOT))) {
                fields.add(new Field(header.getName(), header.getValue()));
            }
        }
        return fields;
    }

    private static String singleHeader(HttpRequest request, String name, boolean required) throws BadInputException {
        Header[] headers = request.getHeaders(name);
        if (headers.length > 1 || headers.length == 0 && required) {
            throw new BadInputException(400, name + (headers.length > 1 ? " is given twice" : " is missing"));
        }
        return headers.length == 0 ? null : headers[0].getValue();
    }

    private static int requireKnown(int index, String header) throws BadInputException {
        if (index < 0) {
            throw new BadInputException(400, header + " names nothing in the settings");
        }
        return index;
    }

    private static long parseTimeoutMs(String text) throws BadInputException {
        try {
            long timeoutMs = Long.parseLong(text);
            if (timeoutMs >= 0 && timeoutMs <= MAX_CLIENT_TIMEOUT_MS) {
                return timeoutMs;
            }
        } catch (NumberFormatException e) {
            throw new BadInputException(400, "X-Remaining-Ms is not a whole number");
        }
        throw new BadInputException(400, "X-Remaining-Ms is out of range");
    }
}
