package calicochute.wire;

import calicochute.decision.Balancer.Actions;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Base64;

/** Writes the actions of balancer instances as reply lines, buffered until the reply ends. */
final class ReplyWriter implements Actions {
    private static final int INITIAL_BUFFER_BYTES = 1 << 14;
    private static final byte[] HEX = "0123456789abcdef".getBytes(StandardCharsets.US_ASCII);
    private final OutputStream out;
    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int used;
    /** Name of the instance whose actions are being written. */
    private String instance;

    ReplyWriter(OutputStream out) {
        this.out = out;
    }

    /** Sets the instance whose actions follow. */
    void instance(String name) {
        instance = name;
    }

    /** Ends the reply to a batch and flushes it. */
    void end() throws IOException {
        ascii("next\n");
        out.write(buffer, 0, used);
        out.flush();
        used = 0;
    }

    /** Reports an exception that the decision module threw. */
    void fault(String text) {
        start("exception");
        text(" body_text=", text.replace('\n', ' '));
        newline();
    }

    @Override
    public void send(long request, String backend, long timeout) {
        start("relay");
        requestId(request);
        text(" backend=", backend);
        if (timeout != 0) {
            number(" within=", timeout);
        }
        newline();
    }

    @Override
    public void refuse(long request, long retryAfter) {
        start("say_no");
        requestId(request);
        if (retryAfter > 0) {
            number(" wait=", retryAfter);
        }
        newline();
    }

    @Override
    public void fail(long request) {
        start("surrender");
        requestId(request);
        newline();
    }

    @Override
    public void cancel(long request, int attempt) {
        start("undo_send");
        requestId(request);
        number(" seq_no=", attempt);
        newline();
    }

    @Override
    public void startTimer(long delay, int purpose, long subject) {
        start("remind");
        number(" offset=", delay);
        number(" label=", purpose);
        put((byte) ':');
        hex(subject);
        newline();
    }

    @Override
    public void subscribe(boolean on) {
        start("stream_changes");
        number(" want=", on ? 1 : 0);
        newline();
    }

    @Override
    public void fetchList() {
        start("snapshot");
        newline();
    }

    @Override
    public void probe(String backend) {
        start("touch");
        text(" backend=", backend);
        newline();
    }

    @Override
    public void closeIdleConnections(String backend) {
        start("free_links");
        text(" backend=", backend);
        newline();
    }

    @Override
    public void sendToPeer(int peer, byte[] bytes) {
        start("broadcast_to");
        number(" neighbour_id=", peer);
        text(" bytes=", bytes.length == 0 ? "-" : Base64.getEncoder().encodeToString(bytes));
        newline();
    }

    @Override
    public void log(String text) {
        start("debug");
        text(" body_text=", text.replace('\n', ' '));
        newline();
    }

    private void start(String action) {
        ascii(action);
        text(" i=", instance);
    }

    private void requestId(long request) {
        ascii(" xid=");
        hex(request);
    }

    private void newline() {
        put((byte) '\n');
    }

    private void text(String key, String value) {
        ascii(key);
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        ensureCapacity(bytes.length);
        System.arraycopy(bytes, 0, buffer, used, bytes.length);
        used += bytes.length;
    }

    private void ascii(String text) {
        int length = text.length();
        ensureCapacity(length);
        for (int i = 0; i < length; i++) {
            buffer[used++] = (byte) text.charAt(i);
        }
    }

    private void number(String key, long value) {
        ascii(key);
        ascii(Long.toString(value));
    }

    private void hex(long value) {
        ensureCapacity(16);
        for (int shift = 60; shift >= 0; shift -= 4) {
            buffer[used++] = HEX[(int) (value >>> shift) & 15];
        }
    }

    private void put(byte value) {
        ensureCapacity(1);
        buffer[used++] = value;
    }

    private void ensureCapacity(int bytes) {
        if (used + bytes > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(buffer.length * 2, used + bytes));
        }
    }
}
