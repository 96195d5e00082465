package calicochute.connection;

import calicochute.framing.WholeHeads;
import java.io.IOException;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseParserFactory;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;

/** Reads the heads of answers on one connection; one that no call awaits, or that can be read in two ways, ends it. */
final class AnswerGuard implements NHttpMessageParser<HttpResponse> {
    private final NHttpMessageParser<HttpResponse> parser =
            new WholeHeads<>(new DefaultHttpResponseParserFactory(Connector.LIMITS).create());
    private final Connection connection;

    AnswerGuard(Connection connection) {
        this.connection = connection;
    }

    @Override
    public void reset() {
        parser.reset();
    }

    @Override
    public HttpResponse parse(SessionInputBuffer buffer, boolean endOfStream) throws IOException, HttpException {
        // Guards against a copy or noise behind an answer: it would be read as the answer to the next call.
        if (buffer.hasData() && !connection.awaitsAnswer()) {
            connection.spoil();
            throw new ProtocolException("bytes that no call awaits");
        }
        HttpResponse response = parser.parse(buffer, endOfStream);
        if (response != null) {
            Header[] lengths = response.getHeaders("Content-Length");
            if (lengths.length + response.countHeaders("Transfer-Encoding") > 1) {
                throw new ProtocolException("more than one length");
            }
            if (response.getCode() >= 200) {
                connection.answerBegun();
            }
        }
        return response;
    }
}
