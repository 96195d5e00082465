package calicochute.lab.emulator;

import calicochute.lab.socket.Connection;
import calicochute.lab.socket.HttpMessage;
import java.nio.charset.StandardCharsets;

/** Responses that a server should not send, each written after the request has run. */
enum FaultyResponse {
    /** Bytes that are not HTTP. */
    NOISE {
        @Override
        void write(Connection connection, int status, String token) {
            connection.write(bytes("\u0001\u0002 this is no answer \u0003\r\n\r\n"));
        }
    },
    /** A Content-Length greater than the body, on a connection that stays open. */
    WRONG_LENGTH {
        @Override
        void write(Connection connection, int status, String token) {
            connection.write(bytes("HTTP/1.1 200 -\r\nContent-Length: " + (token.length() + 50) + "\r\n\r\n" + token));
        }
    },
    /** Two Content-Length fields that differ. */
    TWO_LENGTHS {
        @Override
        void write(Connection connection, int status, String token) {
            connection.write(bytes(
                    "HTTP/1.1 200 -\r\nContent-Length: 3\r\nContent-Length: " + token.length() + "\r\n\r\n" + token));
        }
    },
    /** A header section that does not end. */
    ENDLESS_HEAD {
        @Override
        void write(Connection connection, int status, String token) {
            connection.write(bytes("HTTP/1.1 200 -\r\n" + "X-More: and more\r\n".repeat(8000)));
        }
    },
    /** A Content-Length of 3 GB. */
    HUGE {
        @Override
        void write(Connection connection, int status, String token) {
            connection.write(bytes("HTTP/1.1 200 -\r\nContent-Length: 3000000000\r\n\r\n" + "x".repeat(1 << 17)));
        }
    },
    /** A valid response, followed by a second copy of it. */
    TWICE {
        @Override
        void write(Connection connection, int status, String token) {
            byte[] response = HttpMessage.response(status, "", bytes(token));
            connection.write(response);
            connection.write(response);
        }
    },
    /** A valid response after interim ones. */
    INTERIM {
        @Override
        void write(Connection connection, int status, String token) {
            connection.write(bytes("HTTP/1.1 102 -\r\n\r\nHTTP/1.1 103 -\r\nLink: </map>\r\n\r\n"));
            connection.write(HttpMessage.response(status, "", bytes(token)));
        }
    };

    /** Writes the response; {@code token} is the body of the valid response. */
    abstract void write(Connection connection, int status, String token);

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
