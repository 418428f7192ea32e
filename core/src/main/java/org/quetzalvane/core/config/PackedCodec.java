package org.quetzalvane.core.config;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import org.quetzalvane.core.model.AccessRule;
import org.quetzalvane.core.model.Adapter;
import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.model.ConfigObject;
import org.quetzalvane.core.model.PublishedVersion;

/**
 * Binary format of packed entries in memory, not stable across program versions: ordinal of the kind, revision, name,
 * then the base model of an adapter, the weights of a version, or the caller, target and range of versions of an access
 * rule. Each string is preceded by its length in two bytes. Stateless and thread-safe.
 */
final class PackedCodec {
    private static final int FIXED_BYTES = 1 + Long.BYTES;
    private static final int NAME_INDEX = FIXED_BYTES;
    private static final ConfigObject.Kind[] KINDS = ConfigObject.Kind.values();

    private PackedCodec() {}

    /** Whether entries of a kind are packed; true for the kinds with very many objects. */
    static boolean isPacked(ConfigObject.Kind kind) {
        return kind == ConfigObject.Kind.ADAPTER
                || kind == ConfigObject.Kind.VERSION
                || kind == ConfigObject.Kind.ACCESS_RULE;
    }

    static byte[] encode(ConfigState.Entry e) {
        ConfigObject v = e.value();
        if (v instanceof Adapter) {
            return encode(e, 0, v.name(), ((Adapter) v).baseModel()).array();
        }
        if (v instanceof PublishedVersion) {
            return encode(e, 0, v.name(), ((PublishedVersion) v).weights()).array();
        }
        AccessRule r = (AccessRule) v;
        return encode(e, 2 * Integer.BYTES, r.name(), r.caller(), r.target())
                .putInt(r.fromVersion())
                .putInt(r.toVersion())
                .array();
    }

    static ConfigState.Entry decode(ByteBuffer in) {
        ConfigObject.Kind kind = KINDS[in.get()];
        long revision = in.getLong();
        return new ConfigState.Entry(revision, value(kind, text(in), in));
    }

    static ConfigObject.Kind kind(ByteBuffer in) {
        return KINDS[in.get(in.position())];
    }

    /** The bytes of the name of the entry at the position of the buffer. */
    static ByteBuffer name(ByteBuffer in) {
        return field(in, 0);
    }

    /** The bytes of a string field by its number: 0 is the name, the others follow in the order of writing. */
    static ByteBuffer field(ByteBuffer in, int number) {
        int at = in.position() + NAME_INDEX;
        for (int i = 0; i < number; i++) {
            at += Short.BYTES + in.getShort(at);
        }
        return in.slice(at + Short.BYTES, in.getShort(at));
    }

    private static ConfigObject value(ConfigObject.Kind kind, String name, ByteBuffer in) {
        switch (kind) {
            case ADAPTER:
                return new Adapter(name, text(in));
            case VERSION:
                AdapterVersion v = version(name);
                return new PublishedVersion(v.adapter(), v.version(), text(in));
            default:
                return new AccessRule(name, text(in), text(in), in.getInt(), in.getInt());
        }
    }

    private static AdapterVersion version(String name) {
        int at = name.lastIndexOf('@');
        return new AdapterVersion(name.substring(0, at), Integer.parseInt(name.substring(at + 1)));
    }

    private static ByteBuffer encode(ConfigState.Entry e, int moreBytes, String... strings) {
        byte[][] texts = new byte[strings.length][];
        int size = FIXED_BYTES + moreBytes;
        for (int i = 0; i < strings.length; i++) {
            texts[i] = strings[i].getBytes(StandardCharsets.UTF_8);
            size += Short.BYTES + texts[i].length;
        }
        ByteBuffer out = ByteBuffer.allocate(size);
        out.put((byte) e.value().kind().ordinal()).putLong(e.revision());
        for (byte[] t : texts) {
            out.putShort((short) t.length).put(t);
        }
        return out;
    }

    private static String text(ByteBuffer in) {
        byte[] text = new byte[in.getShort()];
        in.get(text);
        return new String(text, StandardCharsets.UTF_8);
    }
}
