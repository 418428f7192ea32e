package org.quetzalvane.core.config;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
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
 * The configuration objects in force, with lookups for the request path.
 *
 * <p>Not thread-safe by itself; {@link ConfigTable} guards it.
 */
public final class ConfigState {
    private static final ConfigObject.Kind AFTER_ENGINES =
            ConfigObject.Kind.values()[ConfigObject.Kind.ENGINE.ordinal() + 1];

    private final NavigableMap<ConfigKey, Entry> entries =
            new TreeMap<>(java.util.Comparator.comparing(ConfigKey::kind).thenComparing(ConfigKey::name));
    private final Map<String, Caller> callersByToken = new HashMap<>();
    private final RuleIndex rules = new RuleIndex();
    private final SpentNames spent = new SpentNames();
    private List<Engine> engines = List.of();
    private Map<String, List<Engine>> enginesByModel = Map.of();

    /**
     * An object in force with its revision. Immutable.
     *
     * @param revision revision of the object
     * @param value the value
     */
    public record Entry(long revision, ConfigObject value) {}

    public Optional<Entry> find(ConfigKey key) {
        return Optional.ofNullable(entries.get(key));
    }

    /**
     * The revision that a record must state to change an object. It never falls and never returns to an earlier value;
     * 0 when no record ever changed the object.
     */
    public long revision(ConfigKey key) {
        Entry e = entries.get(key);
        return e == null ? spent.revision(key) : e.revision();
    }

    /** Number of objects. */
    public int size() {
        return entries.size();
    }

    public Collection<Entry> all() {
        return List.copyOf(entries.values());
    }

    public Optional<Adapter> adapter(String name) {
        return get(ConfigObject.Kind.ADAPTER, name, Adapter.class);
    }

    public Optional<PublishedVersion> version(AdapterVersion v) {
        return get(ConfigObject.Kind.VERSION, v.toString(), PublishedVersion.class);
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

    /** All engines, in the order of their names. Immutable. */
    public List<Engine> engines() {
        return engines;
    }

    /** The engines with a base model, in the order of their names. Immutable. */
    public List<Engine> engines(String baseModel) {
        return enginesByModel.getOrDefault(baseModel, List.of());
    }

    public boolean allowsAdapter(String caller, AdapterVersion v) {
        return rules.any(caller, "adapter:", v.adapter(), r -> r.allowsAdapter(caller, v));
    }

    public boolean allowsService(String caller, String service) {
        return rules.any(caller, "service:", service, r -> r.allowsService(caller, service));
    }

    /** Writes what is in force and what repeats must not bring back, in an order that depends on the state alone. */
    void writeTo(Consumer<SnapshotCodec.Item> items) {
        entries.forEach((key, e) -> {
            ConfigRecord r = new ConfigRecord(
                    RecordCodec.NEWEST_SCHEMA, "snapshot", e.revision(), key.kind(), key.name(), e.value());
            items.accept(new SnapshotCodec.Item(RecordCodec.encode(r), null, null));
        });
        spent.pieces().forEach(p -> items.accept(new SnapshotCodec.Item(null, null, p)));
    }

    /** Takes in one object or piece that {@link #writeTo} wrote. */
    void restore(SnapshotCodec.Item item) {
        if (item.words() != null) {
            spent.restore(item.words());
        } else if (item.object() != null) {
            ConfigRecord r = RecordCodec.decode(item.object());
            put(r.key(), r.expectedRevision(), r.value());
        }
    }

    void put(ConfigKey key, long revision, ConfigObject value) {
        drop(key);
        entries.put(key, new Entry(revision, value));
        index(value);
    }

    void remove(ConfigKey key, long revision) {
        drop(key);
        spent.spend(key, revision);
    }

    /** Moves the revision of an object on and leaves its value, or its absence, as it is. */
    void useUpRevision(ConfigKey key, long revision) {
        Entry e = entries.get(key);
        if (e == null) {
            spent.spend(key, revision);
        } else {
            entries.put(key, new Entry(revision, e.value()));
        }
    }

    private void drop(ConfigKey key) {
        Entry old = entries.remove(key);
        if (old != null) {
            unindex(old.value());
        }
    }

    private void index(ConfigObject value) {
        if (value instanceof Caller) {
            callersByToken.put(((Caller) value).tokenSha256(), (Caller) value);
        } else if (value instanceof AccessRule) {
            rules.add((AccessRule) value);
        } else if (value instanceof Engine) {
            listEngines();
        }
    }

    private void unindex(ConfigObject value) {
        if (value instanceof Caller) {
            callersByToken.remove(((Caller) value).tokenSha256(), value);
        } else if (value instanceof AccessRule) {
            rules.remove((AccessRule) value);
        } else if (value instanceof Engine) {
            listEngines();
        }
    }

    private void listEngines() {
        engines =
                entries
                        .subMap(new ConfigKey(ConfigObject.Kind.ENGINE, ""), new ConfigKey(AFTER_ENGINES, ""))
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
