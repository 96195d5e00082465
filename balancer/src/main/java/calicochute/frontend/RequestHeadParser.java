package calicochute.frontend;

import calicochute.framing.CompleteHeadParser;
import calicochute.framing.ParserLimits;
import calicochute.metrics.Counter;
import calicochute.metrics.Log;
import java.io.IOException;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpRequestFactory;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.ProtocolVersion;
import org.apache.hc.core5.http.RequestHeaderFieldsTooLargeException;
import org.apache.hc.core5.http.UnsupportedHttpVersionException;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestParserFactory;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.http.protocol.RequestValidateHost;

/** Parses request heads on one client connection and rejects ambiguous ones. */
final class RequestHeadParser implements NHttpMessageParser<HttpRequest> {
    private static final RequestValidateHost HOST_CHECK = new RequestValidateHost();
    private static final Pattern CONTENT_LENGTH = Pattern.compile("[0-9]{1,18}");
    /**
     * Keeps the request target unchanged: HttpCore's own factory takes the first segment of a target that starts with
     * // for a host and drops it.
     */
    private static final HttpRequestFactory<HttpRequest> RAW_TARGET_FACTORY = new DefaultHttpRequestFactory() {
        @Override
        public HttpRequest newHttpRequest(String method, String target) {
            return target.startsWith("/")
                    ? new BasicHttpRequest(method, null, null, target)
                    : super.newHttpRequest(method, target);
        }
    };

    private final NHttpMessageParser<HttpRequest> parser = new CompleteHeadParser<>(
            new DefaultHttpRequestParserFactory(ParserLimits.HTTP_CONFIG, RAW_TARGET_FACTORY, null).create());
    private final ClientConnection.State state;

    RequestHeadParser(ClientConnection.State state) {
        this.state = state;
    }

    @Override
    public void reset() {
        parser.reset();
    }

    @Override
    public HttpRequest parse(SessionInputBuffer buffer, boolean endOfStream) throws IOException, HttpException {
        // Clients have one request open at a time. Pipelined requests would let one connection open hundreds, so
        // input before the response is discarded and the connection closes after that response.
        if (state.noMoreRequests || buffer.hasData() && !state.mayReadRequest()) {
            state.noMoreRequests = true;
            return null;
        }
        try {
            HttpRequest request = parser.parse(buffer, endOfStream);
            if (request != null) {
                check(request);
                // Last, because it sets the authority, which the target is checked for.
                checkHost(request);
            }
            return request;
        } catch (MessageConstraintException e) {
            throw rejected(new RequestHeaderFieldsTooLargeException(e.getMessage()));
        } catch (HttpException e) {
            throw rejected(e);
        }
    }

    private HttpException rejected(HttpException exception) {
        state.closeAfterResponse();
        state.frontend.counters().count(Counter.SESSIONS_BAD_INPUT);
        Log.warn("bad-input", "malformed request: " + exception.getMessage());
        return exception;
    }

    /**
     * Makes the checks that HttpCore makes only after the head was parsed: it would answer such a request itself and go
     * on reading, so that a flood of them would pile up responses.
     */
    private static void checkHost(HttpRequest request) throws HttpException, IOException {
        ProtocolVersion version = request.getVersion() == null ? HttpVersion.HTTP_1_1 : request.getVersion();
        if (version.greaterEquals(HttpVersion.HTTP_2)) {
            throw new UnsupportedHttpVersionException(version);
        }
        HOST_CHECK.process(request, null, HttpCoreContext.create());
    }

    /**
     * Prevents request smuggling: if two parsers disagree on where a body ends, the second one reads the rest as
     * another request.
     */
    private static void check(HttpRequest request) throws ProtocolException {
        if (!request.getPath().startsWith("/") || request.getScheme() != null && request.getAuthority() == null) {
            throw new ProtocolException("the target is neither a path nor a URL");
        }
        Header[] lengths = request.getHeaders("Content-Length");
        Header[] transferEncodings = request.getHeaders("Transfer-Encoding");
        if (lengths.length + transferEncodings.length > 1) {
            throw new ProtocolException("more than one length");
        }
        if (lengths.length == 1
                && !CONTENT_LENGTH.matcher(lengths[0].getValue()).matches()) {
            throw new ProtocolException("Content-Length is no length");
        }
        if (transferEncodings.length == 1 && !transferEncodings[0].getValue().equalsIgnoreCase("chunked")) {
            throw new ProtocolException("Transfer-Encoding is not chunked");
        }
        for (Header header : request.getHeaders()) {
            for (int i = 0; i < header.getValue().length(); i++) {
                char character = header.getValue().charAt(i);
                if (character < ' ' && character != '\t' || character == 0x7f) {
                    throw new ProtocolException("control character in " + header.getName());
                }
            }
        }
    }
}
