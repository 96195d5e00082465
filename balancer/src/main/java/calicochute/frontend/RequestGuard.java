package calicochute.frontend;

import calicochute.framing.CompleteHeadParser;
import calicochute.metrics.Counter;
import calicochute.metrics.Log;
import calicochute.settings.Bounds;
import java.io.IOException;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpRequestFactory;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.RequestHeaderFieldsTooLargeException;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestParserFactory;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;

/** Reads the heads of requests on one client's connection, and none that could be read in two ways. */
final class RequestGuard implements NHttpMessageParser<HttpRequest> {
    private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");
    private static final int HEAD_LIMIT = 2 * Bounds.LINE;
    /**
     * A path as it came: HttpCore's own factory takes the first part of one that begins with // for a host, and leaves
     * it out.
     */
    private static final HttpRequestFactory<HttpRequest> AS_IT_CAME = new DefaultHttpRequestFactory() {
        @Override
        public HttpRequest newHttpRequest(String method, String target) {
            return target.startsWith("/")
                    ? new BasicHttpRequest(method, null, null, target)
                    : super.newHttpRequest(method, target);
        }
    };

    private final NHttpMessageParser<HttpRequest> parser = new CompleteHeadParser<>(
            new DefaultHttpRequestParserFactory(ClientConnection.LIMITS, AS_IT_CAME, null).create());
    private final ClientConnection.State state;
    private int headBytes;

    RequestGuard(ClientConnection.State state) {
        this.state = state;
    }

    @Override
    public void reset() {
        headBytes = 0;
        parser.reset();
    }

    @Override
    public HttpRequest parse(SessionInputBuffer buffer, boolean endOfStream) throws IOException, HttpException {
        // Guards against requests by the hundred on one connection: clients have one open at a time, so what comes
        // before its answer is dropped, and the connection ends with that answer.
        if (state.last || buffer.hasData() && state.owesAnswer()) {
            state.last = true;
            return null;
        }
        int before = buffer.length();
        try {
            HttpRequest request = parser.parse(buffer, endOfStream);
            headBytes += before - buffer.length();
            if (headBytes > HEAD_LIMIT) {
                throw new RequestHeaderFieldsTooLargeException("head over " + HEAD_LIMIT + " bytes");
            }
            if (request != null) {
                check(request);
            }
            return request;
        } catch (MessageConstraintException e) {
            throw refused(new RequestHeaderFieldsTooLargeException(e.getMessage()));
        } catch (HttpException e) {
            throw refused(e);
        }
    }

    private HttpException refused(HttpException e) {
        state.refuse();
        state.frontend.counters().count(Counter.SESSIONS_BAD_INPUT);
        Log.warn("bad-input", "unreadable: " + e.getMessage());
        return e;
    }

    /**
     * Guards against a request within a request: where two readers may differ on a body's end, the second one would
     * take what is left for a request of its own.
     */
    private static void check(HttpRequest request) throws ProtocolException {
        if (!request.getPath().startsWith("/") || request.getScheme() != null && request.getAuthority() == null) {
            throw new ProtocolException("the target is neither a path nor a URL");
        }
        Header[] lengths = request.getHeaders("Content-Length");
        Header[] codings = request.getHeaders("Transfer-Encoding");
        if (lengths.length + codings.length > 1) {
            throw new ProtocolException("more than one length");
        }
        if (lengths.length == 1 && !LENGTH.matcher(lengths[0].getValue()).matches()) {
            throw new ProtocolException("Content-Length is no length");
        }
        if (codings.length == 1 && !codings[0].getValue().equalsIgnoreCase("chunked")) {
            throw new ProtocolException("Transfer-Encoding is not chunked");
        }
        for (Header header : request.getHeaders()) {
            for (int i = 0; i < header.getValue().length(); i++) {
                char c = header.getValue().charAt(i);
                if (c < ' ' && c != '\t' || c == 0x7f) {
                    throw new ProtocolException("control character in " + header.getName());
                }
            }
        }
    }
}
