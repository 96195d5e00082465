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

/** Copies the state of a register and renders it as text, for the exploration in {@link ModelTest}. */
final class RegisterSnapshot {
    private static final Map<Class<?>, List<Field>> FIELDS = new HashMap<>();

    private RegisterSnapshot() {}

    /** Copies the state of {@code source} to {@code target}, which was created with the same arguments. */
    static Register copy(Register source, Register target) {
        copyFields(source, target, new IdentityHashMap<>());
        return target;
    }

    /** Renders the state; equal texts mean equal states. */
    static String text(Object object) {
        StringBuilder out = new StringBuilder();
        text(object, out, new IdentityHashMap<>());
        return out.toString();
    }

    /** Whether the fields of an object are copied one by one into the target's object. */
    private static boolean isCopiedInPlace(Object object) {
        return object instanceof Register
                || object instanceof Acceptor
                || object instanceof Outbox
                || object instanceof Proposer
                || object instanceof VoteRecovery;
    }

    private static void copyFields(Object source, Object target, Map<Object, Object> done) {
        if (done.put(source, target) != null) {
            return;
        }
        for (Field field : fields(source)) {
            Object value = get(field, source);
            if (isCopiedInPlace(value)) {
                copyFields(value, get(field, target), done);
            } else {
                set(field, target, copyOf(value));
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
        if (object instanceof long[] longs) {
            return longs.clone();
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
            for (Object element : array) {
                text(element, out, done);
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
            for (Object element : queue) {
                text(element, out, done);
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

    private static Object get(Field field, Object object) {
        try {
            return field.get(object);
        } catch (IllegalAccessException e) {
            throw new AssertionError(e);
        }
    }

    private static void set(Field field, Object object, Object value) {
        try {
            field.set(object, value);
        } catch (IllegalAccessException e) {
            throw new AssertionError(e);
        }
    }
}
