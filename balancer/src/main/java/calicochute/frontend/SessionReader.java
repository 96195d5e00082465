package calicochute.frontend;

import calicochute.decision.Balancer.Effect;
import calicochute.decision.Balancer.RequestClass;
import calicochute.exchange.Body;
import calicochute.exchange.Exchange;
import calicochute.exchange.Field;
import calicochute.exchange.Message;
import calicochute.exchange.ResponseSender;
import calicochute.settings.Succession;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;

/** Takes from a request's head the fields that decisions need, and refuses what is not a session. */
final class SessionReader {
    /** Fields that belong to one connection, or that the dispatch words anew. */
    private static final Set<String> NOT_PASSED = Set.of(
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

    private static final Pattern ID = Pattern.compile("[0-9a-fA-F]{16}");
    private static final long LONGEST_WAIT_MS = 3_600_000;
    private final AtomicLong lastId = new AtomicLong();
    private final Supplier<Succession> settings;

    /** A request that is not a session as the protocol has it, with the status that says so. */
    static final class BadInput extends Exception {
        private static final long serialVersionUID = 1L;
        final int status;

        BadInput(int status, String message) {
            super(message);
            this.status = status;
        }
    }

    SessionReader(Supplier<Succession> settings) {
        this.settings = settings;
    }

    Exchange read(HttpRequest request, Body body, long now, ResponseSender respondent) throws BadInput {
        String clientId = one(request, "X-Txn", true);
        if (!ID.matcher(clientId).matches()) {
            throw new BadInput(400, "X-Txn is not 16 hex digits");
        }
        // Once: what a session begins with holds to its end.
        Succession told = settings.get();
        int classIndex = known(told.classIndex(one(request, "X-Lane", true), now), "X-Lane");
        boolean tenants = !told.current().tenants().isEmpty();
        String tenant = one(request, "X-Org", tenants);
        int tenantIndex = tenants ? known(told.tenantIndex(tenant, now), "X-Org") : -1;
        long patience = 1000 * wait(one(request, "X-Remaining-Ms", true));
        RequestClass c = told.classes().get(classIndex);
        if (!request.getMethod().equals(c.effect() == Effect.REPEATABLE ? "GET" : "POST")) {
            throw new BadInput(405, request.getMethod() + " does not go with the class " + c.name());
        }
        // Guards against a keyed session without its key: no backend server could drop its repeat.
        String key = one(request, "Idempotency-Key", c.effect() == Effect.KEYED);
        if (key != null && key.isBlank()) {
            throw new BadInput(400, "Idempotency-Key is empty");
        }
        Message message = new Message(request.getMethod(), request.getPath(), passed(request), body);
        return new Exchange(
                lastId.incrementAndGet(),
                clientId,
                message,
                classIndex,
                tenantIndex,
                told.current().limits(),
                "1".equals(one(request, "X-Resent", false)),
                now,
                patience,
                respondent);
    }

    private static List<Field> passed(HttpRequest request) {
        List<Field> fields = new ArrayList<>();
        for (Header header : request.getHeaders()) {
            if (!NOT_PASSED.contains(header.getName().toLowerCase(Locale.ROOT))) {
                fields.add(new Field(header.getName(), header.getValue()));
            }
        }
        return fields;
    }

    private static String one(HttpRequest request, String name, boolean needed) throws BadInput {
        Header[] headers = request.getHeaders(name);
        if (headers.length > 1 || headers.length == 0 && needed) {
            throw new BadInput(400, name + (headers.length > 1 ? " is given twice" : " is missing"));
        }
        return headers.length == 0 ? null : headers[0].getValue();
    }

    private static int known(int index, String header) throws BadInput {
        if (index < 0) {
            throw new BadInput(400, header + " names nothing in the settings");
        }
        return index;
    }

    private static long wait(String text) throws BadInput {
        try {
            long wait = Long.parseLong(text);
            if (wait >= 0 && wait <= LONGEST_WAIT_MS) {
                return wait;
            }
        } catch (NumberFormatException e) {
            throw new BadInput(400, "X-Remaining-Ms is not a whole number");
        }
        throw new BadInput(400, "X-Remaining-Ms is out of range");
    }
}
