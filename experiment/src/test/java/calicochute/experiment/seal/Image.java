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
final class Image {
    private static final Map<Class<?>, List<Field>> FIELDS = new HashMap<>();

    private Image() {}

    /** Makes {@code to}, built with the same arguments, the same as {@code from}. */
    static Register copy(Register from, Register to) {
        into(from, to, new IdentityHashMap<>());
        return to;
    }

    static String text(Object object) {
        StringBuilder out = new StringBuilder();
        text(object, out, new IdentityHashMap<>());
        return out.toString();
    }

    private static boolean machine(Object o) {
        return o instanceof Register
                || o instanceof Voter
                || o instanceof Outbox
                || o instanceof Proposer
                || o instanceof Comeback;
    }

    private static void into(Object from, Object to, Map<Object, Object> done) {
        if (done.put(from, to) != null) {
            return;
        }
        for (Field field : fields(from)) {
            Object value = get(field, from);
            if (machine(value)) {
                into(value, get(field, to), done);
            } else {
                set(field, to, copied(value));
            }
        }
    }

    private static Object copied(Object o) {
        if (o instanceof BitSet b) {
            return b.clone();
        }
        if (o instanceof ArrayDeque<?> q) {
            return q.clone();
        }
        if (o instanceof ArrayList<?> l) {
            return l.clone();
        }
        if (o instanceof EnumMap<?, ?> m) {
            return m.clone();
        }
        if (o instanceof long[] l) {
            return l.clone();
        }
        return o instanceof Object[] a ? a.clone() : o;
    }

    private static void text(Object o, StringBuilder out, Map<Object, Object> done) {
        if (o instanceof Codec || o instanceof Timing || (machine(o) && done.put(o, o) != null)) {
            return;
        }
        if (o instanceof byte[] b) {
            out.append(HexFormat.of().formatHex(b));
        } else if (o instanceof long[] l) {
            out.append(Arrays.toString(l));
        } else if (o instanceof Object[] a) {
            for (Object each : a) {
                text(each, out, done);
            }
        } else if (machine(o)) {
            for (Field field : fields(o)) {
                text(get(field, o), out, done);
            }
        } else if (o instanceof Record r) {
            for (Field field : fields(r)) {
                text(get(field, r), out, done);
            }
        } else if (o instanceof ArrayDeque<?> q) {
            for (Object each : q) {
                text(each, out, done);
            }
        } else {
            out.append(o);
        }
        out.append(';');
    }

    private static List<Field> fields(Object o) {
        return FIELDS.computeIfAbsent(o.getClass(), type -> {
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
