package org.quetzalvane.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.quetzalvane.core.store.AssignmentGroup;
import org.quetzalvane.core.store.KeyedTopic;
import org.quetzalvane.core.store.StoreRecord;
import org.quetzalvane.core.time.ManualScheduler;
import org.quetzalvane.core.time.Scheduler;

/**
 * The store on a paused clock: keyed topics and one group, which can be away and come back from a copy. An answer takes
 * 1 ms each way. Its clients prefix positions and tokens with the era, as the real client does. Counts the calls.
 * Single-threaded.
 */
final class PausedStore {
    static final int PARTITIONS = 24;

    private static final long OFFSETS_PER_ERA = 1L << 40;
    private static final long GENERATIONS_PER_ERA = 1_000_000;
    private static final Duration DELAY = Duration.ofMillis(1);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(10);
    private static final long TIMEOUT_MS = 1_000;

    private final ManualScheduler clock;
    private Content content = new Content();
    private Content copy = new Content();
    private long copiedNanos;
    private long era;
    private boolean away;
    private boolean silent;
    private int listings;
    private int reads;

    PausedStore(ManualScheduler clock) {
        this.clock = clock;
    }

    /** All that a copy of the store contains. */
    private static final class Content {
        private final Map<String, List<StoreRecord>> topics = new HashMap<>();
        private final Map<String, Long> members = new LinkedHashMap<>();
        private final String[] owners = new String[PARTITIONS];
        /** Members that the partitions go to once their owners know that they have lost them. */
        private final String[] nextOwners = new String[PARTITIONS];

        private long generation;

        private Content copy() {
            Content c = new Content();
            topics.forEach((topic, records) -> c.topics.put(topic, new ArrayList<>(records)));
            c.members.putAll(members);
            System.arraycopy(owners, 0, c.owners, 0, PARTITIONS);
            System.arraycopy(nextOwners, 0, c.nextOwners, 0, PARTITIONS);
            c.generation = generation;
            return c;
        }

        private List<StoreRecord> topic(String name) {
            return topics.computeIfAbsent(name, n -> new ArrayList<>());
        }
    }

    void write(String topic, String key, String value) {
        List<StoreRecord> records = content.topic(topic);
        records.add(new StoreRecord(key, value.getBytes(), records.size()));
    }

    void takeCopy() {
        copy = content.copy();
        copiedNanos = clock.nanoTime();
    }

    /** Answers no call from now on. */
    void goAway() {
        away = true;
    }

    /** Loses the calls that arrive, and the reads that wait, without an answer. */
    void silence(boolean on) {
        silent = on;
    }

    /**
     * Comes back from the copy, in the next era.
     *
     * @param membersExpired whether the copied memberships have ended meanwhile, so that the group is dealt out anew
     */
    void restoreCopy(boolean membersExpired) {
        content = copy.copy();
        if (!membersExpired) {
            content.members.replaceAll((member, end) -> end + clock.nanoTime() - copiedNanos);
        }
        era++;
        away = false;
    }

    /** Assigns the partitions of one member to another one at once, before the former owner knows of it. */
    void moveAll(String from, String to) {
        for (int p = 0; p < PARTITIONS; p++) {
            if (from.equals(content.owners[p])) {
                content.owners[p] = to;
                content.nextOwners[p] = to;
            }
        }
        content.generation++;
    }

    String ownerOf(int partition) {
        return content.owners[partition];
    }

    /** Number of listings of the newest records since the counts were reset. */
    int listings() {
        return listings;
    }

    /** Number of reads from an offset since the counts were reset. */
    int reads() {
        return reads;
    }

    void resetCounts() {
        listings = 0;
        reads = 0;
    }

    private KeyedTopic.ReadResult newest(String topic) {
        Map<String, StoreRecord> newest = new LinkedHashMap<>();
        content.topic(topic).forEach(r -> newest.put(r.key(), r));
        return KeyedTopic.ReadResult.ok(
                newest.values().stream().map(this::positioned).toList(),
                position(content.topic(topic).size()));
    }

    private KeyedTopic.ReadResult after(String topic, long offset) {
        List<StoreRecord> records = content.topic(topic);
        if (offset > records.size()) {
            return KeyedTopic.ReadResult.expired();
        }
        List<StoreRecord> rest = records.subList((int) offset, records.size());
        return KeyedTopic.ReadResult.ok(rest.stream().map(this::positioned).toList(), position(records.size()));
    }

    private StoreRecord positioned(StoreRecord r) {
        return new StoreRecord(r.key(), r.value(), position(r.offset()));
    }

    private long position(long offset) {
        return era * OFFSETS_PER_ERA + offset;
    }

    private AssignmentGroup.Assignment join(String member, long ttlMs, long knownGeneration) {
        long now = clock.nanoTime();
        boolean changed = content.members.values().removeIf(end -> end < now);
        changed |= content.members.put(member, now + ttlMs * 1_000_000) == null;
        if (changed) {
            assignEvenly();
        }
        Set<Integer> assigned = new HashSet<>();
        for (int p = 0; p < PARTITIONS; p++) {
            boolean owner = member.equals(content.owners[p]);
            if (owner && member.equals(content.nextOwners[p])) {
                assigned.add(p);
            } else if (owner && knownGeneration >= content.generation) {
                content.owners[p] = content.nextOwners[p];
            }
        }
        return new AssignmentGroup.Assignment(token(content.generation), assigned);
    }

    private Set<String> leave(String member) {
        if (content.members.remove(member) != null) {
            assignEvenly();
        }
        return Set.of();
    }

    /** Deals the partitions out; a member keeps one that it loses until it joins under the new generation. */
    private void assignEvenly() {
        List<String> all = new ArrayList<>(content.members.keySet());
        content.generation++;
        for (int p = 0; p < PARTITIONS; p++) {
            content.nextOwners[p] = all.isEmpty() ? null : all.get(p % all.size());
            if (!all.contains(content.owners[p])) {
                content.owners[p] = content.nextOwners[p];
            }
        }
    }

    private long token(long generation) {
        return era * GENERATIONS_PER_ERA + generation;
    }

    /** The client of one node, which learns the era from the answers. */
    final class Client implements AssignmentGroup {
        private final Scheduler scheduler;
        private final BooleanSupplier connected;
        private long knownEra;

        /**
         * Creates the client.
         *
         * @param scheduler clock of the node
         * @param connected whether calls and answers get through
         */
        Client(Scheduler scheduler, BooleanSupplier connected) {
            this.scheduler = scheduler;
            this.connected = connected;
        }

        /** One topic as this node reads it. */
        KeyedTopic topic(String name) {
            return new Topic(name);
        }

        @Override
        public void join(String member, long ttlMs, long generation, Consumer<Assignment> done) {
            long known = generation / GENERATIONS_PER_ERA == knownEra ? generation % GENERATIONS_PER_ERA : 0;
            call(() -> PausedStore.this.join(member, ttlMs, known), done);
        }

        @Override
        public void members(Consumer<Set<String>> done) {
            call(() -> Set.copyOf(content.members.keySet()), done);
        }

        @Override
        public void leave(String member) {
            call(() -> PausedStore.this.leave(member), left -> {});
        }

        /** Calls the store; {@code done} receives null if there is no answer or it is of an earlier era. */
        private <T> void call(Supplier<T> work, Consumer<T> done) {
            clock.schedule(DELAY, () -> answer(!away && !silent && connected.getAsBoolean() ? work.get() : null, done));
        }

        private <T> void answer(T result, Consumer<T> done) {
            long stated = era;
            if (result == null || !connected.getAsBoolean()) {
                scheduler.schedule(Duration.ofMillis(TIMEOUT_MS), () -> done.accept(null));
                return;
            }
            scheduler.schedule(DELAY, () -> {
                boolean outdated = stated < knownEra;
                knownEra = Math.max(knownEra, stated);
                done.accept(outdated ? null : result);
            });
        }

        private final class Topic implements KeyedTopic {
            private final String name;

            private Topic(String name) {
                this.name = name;
            }

            @Override
            public String name() {
                return name;
            }

            @Override
            public void readNewest(Consumer<ReadResult> done) {
                listings++;
                call(() -> newest(name), page -> done.accept(page == null ? ReadResult.failed("no answer") : page));
            }

            @Override
            public void read(long position, long waitMs, Consumer<ReadResult> done) {
                if (position / OFFSETS_PER_ERA != knownEra) {
                    done.accept(ReadResult.restored());
                    return;
                }
                reads++;
                long end = clock.nanoTime() + waitMs * 1_000_000;
                clock.schedule(
                        DELAY,
                        () -> poll(position % OFFSETS_PER_ERA, end, false, page -> {
                            boolean rose = position / OFFSETS_PER_ERA != knownEra;
                            done.accept(
                                    rose
                                            ? ReadResult.restored()
                                            : page == null ? ReadResult.failed("no answer") : page);
                        }));
            }

            private void poll(long offset, long endNanos, boolean lostBefore, Consumer<ReadResult> done) {
                boolean lost = lostBefore || silent;
                boolean reached = !lost && !away && connected.getAsBoolean();
                ReadResult page = reached ? after(name, offset) : null;
                boolean empty = page == null
                        || page.outcome() == Outcome.OK && page.records().isEmpty();
                if (empty && clock.nanoTime() < endNanos) {
                    clock.schedule(POLL_INTERVAL, () -> poll(offset, endNanos, lost, done));
                } else {
                    answer(page, done);
                }
            }
        }
    }
}
