package calicochute.experiment.seal;

import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;

/** Copies a register as it stands, and tells its state as text: for the model that goes through all histories. */
final class RegisterSnapshot {
    private static final Map<Class<?>, List<Field>> FIELDS = new HashMap<>();

    private RegisterSnapshot() {}

    /** Makes {@code to}, built with the same arguments, the same as {@code from}. */
    static Register copy(Register from, Register to) {
        copyFields(from, to, new IdentityHashMap<>());
        return to;
    }

    static String text(Object object) {
        StringBuilder out = new StringBuilder();
        text(object, out, new IdentityHashMap<>());
        return out.toString();
    }

    private static boolean isCopiedInPlace(Object object) {
        return object instanceof Register
                || object instanceof Acceptor
                || object instanceof Outbox
                || object instanceof Proposer
                || object instanceof VoteRecovery;
    }

    private static void copyFields(Object from, Object to, Map<Object, Object> done) {
        if (done.put(from, to) != null) {
            return;
        }
        for (Field field : fields(from)) {
            Object value = get(field, from);
            if (isCopiedInPlace(value)) {
                copyFields(value, get(field, to), done);
            } else {
                set(field, to, copyOf(value));
            }
        }
    }

    private static Object copyOf(Object object) {
        if (object instanceof BitSet bits) {
            return bits.clone();
        }
        if (object instanceof ArrayDeque<?> queue) {
            return queue.clone();
        }
        if (object instanceof ArrayList<?> list) {
            return list.clone();
        }
        if (object instanceof EnumMap<?, ?> map) {
            return map.clone();
        }
        if (object instanceof long[] list) {
            return list.clone();
        }
        return object instanceof Object[] array ? array.clone() : object;
    }

    private static void text(Object object, StringBuilder out, Map<Object, Object> done) {
        if (object instanceof Codec
                || object instanceof Timing
                || (isCopiedInPlace(object) && done.put(object, object) != null)) {
            return;
        }
        if (object instanceof byte[] bytes) {
            out.append(HexFormat.of().formatHex(bytes));
        } else if (object instanceof long[] longs) {
            out.append(Arrays.toString(longs));
        } else if (object instanceof Object[] array) {
            for (Object each : array) {
                text(each, out, done);
            }
        } else if (isCopiedInPlace(object)) {
            for (Field field : fields(object)) {
                text(get(field, object), out, done);
            }
        } else if (object instanceof Record record) {
            for (Field field : fields(record)) {
                text(get(field, record), out, done);
            }
        } else if (object instanceof ArrayDeque<?> queue) {
            for (Object each : queue) {
                text(each, out, done);
            }
        } else {
            out.append(object);
        }
        out.append(';');
    }

    private static List<Field> fields(Object object) {
        return FIELDS.computeIfAbsent(object.getClass(), type -> {
            List<Field> fields = new ArrayList<>();
            for (Field field : type.getDeclaredFields()) {
                if (Modifier.isStatic(field.getModifiers()) || field.getName().equals("peers")) {
                    continue;
                }
                field.setAccessible(true);
                fields.add(field);
            }
            return fields;
        });
    }

    private static Object get(Field field, Object of) {
        try {
            return field.get(of);
        } catch (IllegalAccessException e) {
            throw new AssertionError(e);
        }
    }

    private static void set(Field field, Object of, Object value) {
        try {
            field.set(of, value);
        } catch (IllegalAccessException e) {
            throw new AssertionError(e);
        }
    }
}
