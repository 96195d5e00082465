package calicochute.experiment;

import calicochute.experiment.Verdict.Note;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;

/** Serialized form of a state, at most {@link #MAX_BYTES} long; the first byte is the version. */
final class StateBytes {
    /** Largest serialized size in bytes. */
    static final int MAX_BYTES = 900;

    /** Version of the serialized form. */
    private static final byte VERSION = 1;

    private StateBytes() {}

    static byte[] write(State state) {
        ByteBuffer output = ByteBuffer.allocate(MAX_BYTES);
        output.put(VERSION)
                .put((byte) (state.lanePredictors.length / State.PREDICTOR_FLOATS))
                .put((byte) (state.guardPredictors.length / State.PREDICTOR_FLOATS));
        output.putInt(state.definition)
                .putLong(state.firstWindow)
                .putLong(state.window)
                .putDouble(state.share)
                .putDouble(state.nextShare)
                .putLong(state.nextShareWindow);
        output.put((byte) state.verdict.ordinal())
                .putLong(state.verdictWindow)
                .put((byte) state.trippedGuard)
                .put((byte) state.rolloutStep);
        int notes = 0;
        for (Note note : state.notes) {
            notes |= 1 << note.ordinal();
        }
        output.put((byte) notes).putLong(state.leftOut);
        for (float[] floats : state.floats()) {
            for (float value : floats) {
                output.putFloat(value);
            }
        }
        for (double value : state.totals) {
            output.putDouble(value);
        }
        byte[] bytes = new byte[output.flip().remaining()];
        output.get(bytes);
        return bytes;
    }

    static State read(byte[] bytes) throws UnreadableException {
        ByteBuffer input = ByteBuffer.wrap(bytes);
        try {
            check(bytes.length <= MAX_BYTES && input.get() == VERSION, "unknown version or excessive length");
            int lanes = input.get();
            int guards = input.get();
            check(
                    lanes >= 0
                            && lanes <= ExperimentValidator.MAX_LANES
                            && guards >= 0
                            && guards <= ExperimentValidator.MAX_GUARDS,
                    "number of lanes or guards out of range");
            State state = new State(input.getInt(), input.getLong(), lanes, guards);
            state.window = input.getLong();
            state.share = input.getDouble();
            state.nextShare = input.getDouble();
            state.nextShareWindow = input.getLong();
            check(
                    state.share >= 0
                            && state.share <= 1
                            && state.nextShare >= 0
                            && state.nextShare <= 1
                            && state.window >= state.firstWindow - 1,
                    "share or window out of range");
            int verdict = input.get();
            check(verdict >= 0 && verdict < Verdict.values().length, "unknown verdict");
            state.verdict = Verdict.values()[verdict];
            state.verdictWindow = input.getLong();
            state.trippedGuard = input.get();
            state.rolloutStep = input.get();
            check(
                    state.trippedGuard >= -1 && state.trippedGuard < guards && state.rolloutStep >= 0,
                    "guard or rollout step out of range");
            int notes = input.get();
            check(notes >= 0 && notes < 1 << Note.values().length, "unknown notes");
            for (Note note : Note.values()) {
                if ((notes >> note.ordinal() & 1) == 1) {
                    state.notes.add(note);
                }
            }
            state.leftOut = input.getLong();
            for (float[] floats : state.floats()) {
                for (int i = 0; i < floats.length; i++) {
                    floats[i] = input.getFloat();
                    check(Float.isFinite(floats[i]), "non-finite float");
                }
            }
            for (int i = 0; i < state.totals.length; i++) {
                state.totals[i] = input.getDouble();
                check(Double.isFinite(state.totals[i]), "non-finite total");
            }
            check(!input.hasRemaining(), "trailing bytes");
            return state;
        } catch (BufferUnderflowException e) {
            throw new UnreadableException("state truncated at " + bytes.length + " bytes");
        }
    }

    private static void check(boolean valid, String problem) throws UnreadableException {
        if (!valid) {
            throw new UnreadableException("invalid state: " + problem);
        }
    }
}
