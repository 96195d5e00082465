package calicochute.framing;

import calicochute.settings.Bounds;
import org.apache.hc.core5.http.config.Http1Config;

/** The limits of {@link Bounds} in the form that HttpCore's parsers take them, for connections of all kinds. */
public final class ParserLimits {
    /** Buffer, line and header limits, and what is read of a body before its handler grants more. */
    public static final Http1Config HTTP_CONFIG = Http1Config.custom()
            .setBufferSize(Bounds.READ_BUFFER_BYTES)
            .setMaxLineLength(Bounds.MAX_LINE_BYTES)
            .setMaxHeaderCount(Bounds.MAX_HEADERS)
            .setInitialWindowSize(Bounds.INITIAL_WINDOW_BYTES)
            .build();

    private ParserLimits() {}
}
