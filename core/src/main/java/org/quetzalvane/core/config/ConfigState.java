package org.quetzalvane.core.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.quetzalvane.core.model.AccessRule;
import org.quetzalvane.core.model.Adapter;
import org.quetzalvane.core.model.AdapterVersion;
import org.quetzalvane.core.model.Caller;
import org.quetzalvane.core.model.ConfigObject;
import org.quetzalvane.core.model.Engine;
import org.quetzalvane.core.model.LoadLimits;
import org.quetzalvane.core.model.PublishedVersion;
import org.quetzalvane.core.model.Service;

/**
 * The configuration objects in force, with the indexes for the lookups on the request path.
 *
 * <p>Not thread-safe; {@link ConfigTable} guards it with its lock.
 */
public final class ConfigState {
    private static final String ANY = "*";
    private static final ConfigObject.Kind KIND_AFTER_ENGINE =
            ConfigObject.Kind.values()[ConfigObject.Kind.ENGINE.ordinal() + 1];

    private final NavigableMap<ConfigKey, Entry> unpackedEntries =
            new TreeMap<>(java.util.Comparator.comparing(ConfigKey::kind).thenComparing(ConfigKey::name));
    private final Map<String, Caller> callersByToken = new HashMap<>();
    private final PackedEntries packed = new PackedEntries();
    private final TombstoneFilter tombstones = new TombstoneFilter();
    private List<Engine> engines = List.of();
    private Map<String, List<Engine>> enginesByModel = Map.of();

    /**
     * An object in force and its revision. Immutable.
     *
     * @param revision revision of the object
     * @param value the object
     */
    public record Entry(long revision, ConfigObject value) {}

    public Optional<Entry> find(ConfigKey key) {
        return PackedCodec.isPacked(key.kind()) ? packed.find(key) : Optional.ofNullable(unpackedEntries.get(key));
    }

    /**
     * Returns the revision that a record must state to change an object. The revision never decreases. It is 0 for an
     * object that no record has changed, except for false positives of the {@link TombstoneFilter}.
     */
    public long revision(ConfigKey key) {
        return find(key).map(Entry::revision).orElseGet(() -> tombstones.revision(key));
    }

    /** Number of objects of the kinds that are not packed: all but adapters, versions and access rules. */
    public int unpackedCount() {
        return unpackedEntries.size();
    }

    public Collection<Entry> all() {
        List<Entry> all = new ArrayList<>(unpackedEntries.values());
        packed.forEach(all::add);
        return all;
    }

    public Optional<Adapter> adapter(String name) {
        return get(ConfigObject.Kind.ADAPTER, name, Adapter.class);
    }

    public Optional<PublishedVersion> version(AdapterVersion v) {
        return get(ConfigObject.Kind.VERSION, v.toString(), PublishedVersion.class);
    }

    public Optional<Engine> engine(String name) {
        return get(ConfigObject.Kind.ENGINE, name, Engine.class);
    }

    public Optional<Service> service(String name) {
        return get(ConfigObject.Kind.SERVICE, name, Service.class);
    }

    public Optional<LoadLimits> loadLimits(String region) {
        return get(ConfigObject.Kind.LOAD_LIMITS, region, LoadLimits.class);
    }

    public Optional<Caller> callerByToken(String tokenSha256) {
        return Optional.ofNullable(callersByToken.get(tokenSha256));
    }

    /** All engines, ordered by name. Immutable. */
    public List<Engine> engines() {
        return engines;
    }

    /** The engines that run a base model, ordered by name. Immutable. */
    public List<Engine> engines(String baseModel) {
        return enginesByModel.getOrDefault(baseModel, List.of());
    }

    public boolean allowsAdapter(String caller, AdapterVersion v) {
        return anyRule(caller, "adapter:", v.adapter(), r -> r.allowsAdapter(caller, v));
    }

    public boolean allowsService(String caller, String service) {
        return anyRule(caller, "service:", service, r -> r.allowsService(caller, service));
    }

    /**
     * Writes the objects in force and the filter of absent names, without which a repeated record could be accepted
     * again. The order depends on the state alone.
     */
    void writeTo(Consumer<SnapshotCodec.Item> items) {
        unpackedEntries.values().forEach(e -> items.accept(item(e)));
        packed.forEach(e -> items.accept(item(e)));
        tombstones.pieces().forEach(p -> items.accept(new SnapshotCodec.Item(null, null, p)));
    }

    private static SnapshotCodec.Item item(Entry e) {
        ConfigObject v = e.value();
        ConfigRecord r = new ConfigRecord(RecordCodec.NEWEST_SCHEMA, "snapshot", e.revision(), v.kind(), v.name(), v);
        return new SnapshotCodec.Item(RecordCodec.encode(r), null, null);
    }

    /** Adds one item that {@link #writeTo} wrote. */
    void restore(SnapshotCodec.Item item) {
        if (item.words() != null) {
            tombstones.restore(item.words());
        } else if (item.object() != null) {
            ConfigRecord r = RecordCodec.decode(item.object());
            put(r.key(), r.expectedRevision(), r.value());
        }
    }

    void put(ConfigKey key, long revision, ConfigObject value) {
        removeEntry(key);
        Entry e = new Entry(revision, value);
        if (PackedCodec.isPacked(key.kind())) {
            packed.add(e);
        } else {
            unpackedEntries.put(key, e);
            index(value);
        }
    }

    void remove(ConfigKey key, long revision) {
        removeEntry(key);
        tombstones.add(key, revision);
    }

    /** Advances the revision of an object and keeps its value, or its absence. */
    void advanceRevision(ConfigKey key, long revision) {
        Optional<Entry> e = find(key);
        if (e.isEmpty()) {
            tombstones.add(key, revision);
        } else {
            put(key, revision, e.get().value());
        }
    }

    private void removeEntry(ConfigKey key) {
        if (PackedCodec.isPacked(key.kind())) {
            packed.remove(key);
            return;
        }
        Entry old = unpackedEntries.remove(key);
        if (old != null) {
            unindex(old.value());
        }
    }

    private void index(ConfigObject value) {
        if (value instanceof Caller) {
            callersByToken.put(((Caller) value).tokenSha256(), (Caller) value);
        } else if (value instanceof Engine) {
            rebuildEngineLists();
        }
    }

    private void unindex(ConfigObject value) {
        if (value instanceof Caller) {
            callersByToken.remove(((Caller) value).tokenSha256(), value);
        } else if (value instanceof Engine) {
            rebuildEngineLists();
        }
    }

    private boolean anyRule(String caller, String targetPrefix, String name, Predicate<AccessRule> condition) {
        return packed.anyRule(caller, targetPrefix + name, condition)
                || packed.anyRule(caller, targetPrefix + ANY, condition)
                || packed.anyRule(ANY, targetPrefix + name, condition)
                || packed.anyRule(ANY, targetPrefix + ANY, condition);
    }

    private void rebuildEngineLists() {
        engines =
                unpackedEntries
                        .subMap(new ConfigKey(ConfigObject.Kind.ENGINE, ""), new ConfigKey(KIND_AFTER_ENGINE, ""))
                        .values()
                        .stream()
                        .map(e -> (Engine) e.value())
                        .toList();
        enginesByModel = engines.stream().collect(Collectors.groupingBy(Engine::baseModel));
    }

    private <T extends ConfigObject> Optional<T> get(ConfigObject.Kind kind, String name, Class<T> type) {
        return find(new ConfigKey(kind, name)).map(e -> type.cast(e.value()));
    }
}
