package calicochute.connection;

import calicochute.framing.CompleteHeadParser;
import calicochute.framing.ParserLimits;
import java.io.IOException;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseParserFactory;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;

/** Parses response heads on one connection. Unsolicited data and heads with ambiguous framing end the connection. */
final class ResponseHeadParser implements NHttpMessageParser<HttpResponse> {
    private final NHttpMessageParser<HttpResponse> parser =
            new CompleteHeadParser<>(new DefaultHttpResponseParserFactory(ParserLimits.HTTP_CONFIG).create());
    private final Connection connection;

    ResponseHeadParser(Connection connection) {
        this.connection = connection;
    }

    @Override
    public void reset() {
        parser.reset();
    }

    @Override
    public HttpResponse parse(SessionInputBuffer buffer, boolean endOfStream) throws IOException, HttpException {
        // Extra bytes after a response, such as a duplicate, would be read as the response to the next call.
        if (buffer.hasData() && !connection.awaitsResponse()) {
            connection.markUnsolicitedData();
            throw new ProtocolException("received data that belongs to no call");
        }
        HttpResponse response = parser.parse(buffer, endOfStream);
        if (response != null) {
            Header[] lengths = response.getHeaders("Content-Length");
            if (lengths.length + response.countHeaders("Transfer-Encoding") > 1) {
                throw new ProtocolException("more than one Content-Length or Transfer-Encoding");
            }
            if (response.getCode() >= 200) {
                connection.responseHeadReceived();
            }
        }
        return response;
    }
}
