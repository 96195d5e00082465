package review2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.locks.LockSupport;

/** A proxy before one server: whatever passes is delayed by the time of one way, in either direction. */
final class DelayLine {
    private final ServerSocket socket;
    private final int target;
    private final long delayNanos;

    private record Chunk(byte[] bytes, long dueNanos) {}

    DelayLine(int target, long delayMicros) throws IOException {
        this.target = target;
        delayNanos = delayMicros * 1000;
        socket = new ServerSocket(0, 500, Rig.LOOPBACK);
        Rig.start(this::accept);
    }

    String address() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    private void accept() {
        try {
            while (true) {
                Socket near = socket.accept();
                Socket far = new Socket();
                far.connect(new InetSocketAddress(Rig.LOOPBACK, target), 2000);
                near.setTcpNoDelay(true);
                far.setTcpNoDelay(true);
                pass(near, far);
                pass(far, near);
            }
        } catch (IOException e) {
            Rig.say("delay line ended: " + e.getMessage());
        }
    }

    private void pass(Socket from, Socket to) {
        LinkedBlockingQueue<Chunk> chunks = new LinkedBlockingQueue<>();
        Rig.start(() -> {
            byte[] buffer = new byte[16384];
            try {
                InputStream in = from.getInputStream();
                for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                    chunks.add(new Chunk(java.util.Arrays.copyOf(buffer, n), System.nanoTime() + delayNanos));
                }
            } catch (IOException e) {
                // Ended by a reset; passed on as an end.
            }
            chunks.add(new Chunk(null, System.nanoTime() + delayNanos));
        });
        Rig.start(() -> {
            try {
                OutputStream out = to.getOutputStream();
                while (true) {
                    Chunk chunk = chunks.take();
                    long waitNanos = chunk.dueNanos - System.nanoTime();
                    while (waitNanos > 0) {
                        LockSupport.parkNanos(waitNanos);
                        waitNanos = chunk.dueNanos - System.nanoTime();
                    }
                    if (chunk.bytes == null) {
                        to.close();
                        from.close();
                        return;
                    }
                    out.write(chunk.bytes);
                }
            } catch (IOException | InterruptedException e) {
                close(from);
                close(to);
            }
        });
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // Closed already.
        }
    }
}
