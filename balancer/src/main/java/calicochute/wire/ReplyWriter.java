package calicochute.wire;

import calicochute.decision.Balancer.Actions;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Base64;

/** Writes the actions of the instance at hand as reply lines. */
final class ReplyWriter implements Actions {
    private static final byte[] HEX = "0123456789abcdef".getBytes(StandardCharsets.US_ASCII);
    private final OutputStream out;
    private byte[] buffer = new byte[1 << 14];
    private int used;
    private String instance;

    ReplyWriter(OutputStream out) {
        this.out = out;
    }

    void instance(String name) {
        instance = name;
    }

    /** Closes the reply and hands it over. */
    void end() throws IOException {
        ascii("next\n");
        out.write(buffer, 0, used);
        out.flush();
        used = 0;
    }

    void fault(String text) {
        start("exception");
        text(" body_text=", text.replace('\n', ' '));
        newline();
    }

    @Override
    public void send(long request, String backend, long timeout) {
        start("relay");
        xid(request);
        text(" backend=", backend);
        if (timeout != 0) {
            number(" within=", timeout);
        }
        newline();
    }

    @Override
    public void refuse(long request, long retryAfter) {
        start("say_no");
        xid(request);
        if (retryAfter > 0) {
            number(" wait=", retryAfter);
        }
        newline();
    }

    @Override
    public void fail(long request) {
        start("surrender");
        xid(request);
        newline();
    }

    @Override
    public void cancel(long request, int attempt) {
        start("undo_send");
        xid(request);
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

    private void xid(long request) {
        ascii(" xid=");
        hex(request);
    }

    private void newline() {
        put((byte) '\n');
    }

    private void text(String label, String value) {
        ascii(label);
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        room(bytes.length);
        System.arraycopy(bytes, 0, buffer, used, bytes.length);
        used += bytes.length;
    }

    private void ascii(String text) {
        int length = text.length();
        room(length);
        for (int i = 0; i < length; i++) {
            buffer[used++] = (byte) text.charAt(i);
        }
    }

    private void number(String label, long value) {
        ascii(label);
        ascii(Long.toString(value));
    }

    private void hex(long value) {
        room(16);
        for (int shift = 60; shift >= 0; shift -= 4) {
            buffer[used++] = HEX[(int) (value >>> shift) & 15];
        }
    }

    private void put(byte b) {
        room(1);
        buffer[used++] = b;
    }

    private void room(int bytes) {
        if (used + bytes > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(buffer.length * 2, used + bytes));
        }
    }
}
