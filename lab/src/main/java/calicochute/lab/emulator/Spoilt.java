package calicochute.lab.emulator;

import calicochute.lab.socket.Connection;
import calicochute.lab.socket.HttpMessage;
import java.nio.charset.StandardCharsets;

/** Answers that servers should not send, after the request has run. */
enum Spoilt {
    NOISE {
        @Override
        void write(Connection connection, int status, String token) {
            connection.write(bytes("\u0001\u0002 this is no answer \u0003\r\n\r\n"));
        }
    },
    WRONG_LENGTH {
        @Override
        void write(Connection connection, int status, String token) {
            connection.write(bytes("HTTP/1.1 200 -\r\nContent-Length: " + (token.length() + 50) + "\r\n\r\n" + token));
        }
    },
    TWO_LENGTHS {
        @Override
        void write(Connection connection, int status, String token) {
            connection.write(bytes(
                    "HTTP/1.1 200 -\r\nContent-Length: 3\r\nContent-Length: " + token.length() + "\r\n\r\n" + token));
        }
    },
    ENDLESS_HEAD {
        @Override
        void write(Connection connection, int status, String token) {
            connection.write(bytes("HTTP/1.1 200 -\r\n" + "X-More: and more\r\n".repeat(8000)));
        }
    },
    HUGE {
        @Override
        void write(Connection connection, int status, String token) {
            connection.write(bytes("HTTP/1.1 200 -\r\nContent-Length: 3000000000\r\n\r\n" + "x".repeat(1 << 17)));
        }
    },
    /** A good answer, and the same again behind it. */
    TWICE {
        @Override
        void write(Connection connection, int status, String token) {
            byte[] answer = HttpMessage.response(status, "", bytes(token));
            connection.write(answer);
            connection.write(answer);
        }
    },
    /** A good answer behind interim ones. */
    INTERIM {
        @Override
        void write(Connection connection, int status, String token) {
            connection.write(bytes("HTTP/1.1 102 -\r\n\r\nHTTP/1.1 103 -\r\nLink: </map>\r\n\r\n"));
            connection.write(HttpMessage.response(status, "", bytes(token)));
        }
    };

    abstract void write(Connection connection, int status, String token);

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
