package calicochute.experiment;

import calicochute.experiment.Verdict.Note;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;

/** A state as bytes, at most {@link #MOST}; the first says the version. */
final class StateBytes {
    static final int MOST = 900;
    private static final byte VERSION = 1;

    private StateBytes() {}

    static byte[] of(State s) {
        ByteBuffer out = ByteBuffer.allocate(MOST);
        out.put(VERSION).put((byte) (s.lanes.length / State.OF_LANE)).put((byte) (s.guards.length / State.OF_LANE));
        out.putInt(s.definition)
                .putLong(s.first)
                .putLong(s.window)
                .putDouble(s.share)
                .putDouble(s.nextShare)
                .putLong(s.nextFrom);
        out.put((byte) s.verdict.ordinal())
                .putLong(s.decided)
                .put((byte) s.guard)
                .put((byte) s.step);
        int notes = 0;
        for (Note note : s.notes) {
            notes |= 1 << note.ordinal();
        }
        out.put((byte) notes).putLong(s.leftOut);
        for (float[] floats : s.floats()) {
            for (float value : floats) {
                out.putFloat(value);
            }
        }
        for (double value : s.totals) {
            out.putDouble(value);
        }
        byte[] bytes = new byte[out.flip().remaining()];
        out.get(bytes);
        return bytes;
    }

    static State read(byte[] bytes) throws UnreadableException {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        try {
            check(bytes.length <= MOST && in.get() == VERSION, "version or length");
            int lanes = in.get();
            int guards = in.get();
            check(
                    lanes >= 0
                            && lanes <= ExperimentCheck.MOST_LANES
                            && guards >= 0
                            && guards <= ExperimentCheck.MOST_GUARDS,
                    "lanes or guards");
            State s = new State(in.getInt(), in.getLong(), lanes, guards);
            s.window = in.getLong();
            s.share = in.getDouble();
            s.nextShare = in.getDouble();
            s.nextFrom = in.getLong();
            check(
                    s.share >= 0 && s.share <= 1 && s.nextShare >= 0 && s.nextShare <= 1 && s.window >= s.first - 1,
                    "share or window");
            int verdict = in.get();
            check(verdict >= 0 && verdict < Verdict.values().length, "verdict");
            s.verdict = Verdict.values()[verdict];
            s.decided = in.getLong();
            s.guard = in.get();
            s.step = in.get();
            check(s.guard >= -1 && s.guard < guards && s.step >= 0, "guard or step");
            int notes = in.get();
            check(notes >= 0 && notes < 1 << Note.values().length, "notes");
            for (Note note : Note.values()) {
                if ((notes >> note.ordinal() & 1) == 1) {
                    s.notes.add(note);
                }
            }
            s.leftOut = in.getLong();
            for (float[] floats : s.floats()) {
                for (int i = 0; i < floats.length; i++) {
                    floats[i] = in.getFloat();
                    check(Float.isFinite(floats[i]), "figure");
                }
            }
            for (int i = 0; i < s.totals.length; i++) {
                s.totals[i] = in.getDouble();
                check(Double.isFinite(s.totals[i]), "total");
            }
            check(!in.hasRemaining(), "length");
            return s;
        } catch (BufferUnderflowException e) {
            throw new UnreadableException("a state cut short at " + bytes.length + " bytes");
        }
    }

    private static void check(boolean good, String what) throws UnreadableException {
        if (!good) {
            throw new UnreadableException("a state of an impossible " + what);
        }
    }
}
