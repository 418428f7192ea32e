package org.quetzalvane.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
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

    private final ManualScheduler clock;
    private Content content = new Content();
    private Content copy = new Content();
    private long copiedNanos;
    private long era;
    private boolean away;
    private boolean silent;
    private Predicate<Response> lost = response -> false;
    private Duration delay = DELAY;
    private int listings;
    private int reads;

    PausedStore(ManualScheduler clock) {
        this.clock = clock;
    }

    /**
     * A response to a node. Immutable.
     *
     * @param topic topic that was read, or null for a call to the group
     */
    record Response(String node, String topic, boolean carriesRecords) {}

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

    /** Loses the responses for which a predicate holds, on their way. */
    void loseResponses(Predicate<Response> predicate) {
        lost = predicate;
    }

    /** Sets the time that a response takes, ms. */
    void respondAfter(long ms) {
        delay = Duration.ofMillis(ms);
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

    /** How a node reaches the store. */
    enum Link {
        SOUND,
        /** Calls and responses are lost. */
        CUT,
        /** Each call fails at once: an error status or a reset. */
        REFUSED
    }

    /** The client of one node, which learns the era from the answers. */
    final class Client implements AssignmentGroup {
        private final Scheduler scheduler;
        private final String node;
        private final Supplier<Link> link;
        private long knownEra;

        /**
         * Creates the client.
         *
         * @param scheduler clock of the node
         * @param link how calls and answers get through
         */
        Client(Scheduler scheduler, String node, Supplier<Link> link) {
            this.scheduler = scheduler;
            this.node = node;
            this.link = link;
        }

        /** One topic as this node reads it. */
        KeyedTopic topic(String name) {
            return new Topic(name);
        }

        @Override
        public void join(String member, long ttlMs, long generation, Consumer<Assignment> done) {
            long known = generation / GENERATIONS_PER_ERA == knownEra ? generation % GENERATIONS_PER_ERA : 0;
            call(null, () -> PausedStore.this.join(member, ttlMs, known), done);
        }

        @Override
        public void members(Consumer<Set<String>> done) {
            call(null, () -> Set.copyOf(content.members.keySet()), done);
        }

        @Override
        public void leave(String member) {
            call(null, () -> PausedStore.this.leave(member), left -> {});
        }

        private <T> void call(String topic, Supplier<T> work, Consumer<T> done) {
            Consumer<T> once = once(topic == null ? EntryNode.STORE_TIMEOUT_MS : EntryNode.STORE_READ_TIMEOUT_MS, done);
            clock.schedule(DELAY, () -> answer(topic, !silent && reached() ? work.get() : null, once));
        }

        private boolean reached() {
            return !away && link.get() == Link.SOUND;
        }

        /** A callback that receives one result: null if there is none in time. */
        private <T> Consumer<T> once(long timeoutMs, Consumer<T> done) {
            boolean[] finished = {false};
            Consumer<T> first = result -> {
                if (!finished[0]) {
                    finished[0] = true;
                    done.accept(result);
                }
            };
            scheduler.schedule(Duration.ofMillis(timeoutMs), () -> first.accept(null));
            return first;
        }

        /** Passes a result on; {@code done} receives null for one of an earlier era. */
        private <T> void answer(String topic, T result, Consumer<T> done) {
            if (link.get() == Link.REFUSED) {
                scheduler.schedule(DELAY, () -> done.accept(null));
                return;
            }
            boolean records =
                    result instanceof KeyedTopic.ReadResult r && !r.records().isEmpty();
            if (result == null || !reached() || lost.test(new Response(node, topic, records))) {
                return;
            }
            long stated = era;
            scheduler.schedule(delay, () -> {
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
                call(
                        name,
                        () -> newest(name),
                        page -> done.accept(page == null ? ReadResult.failed("no answer") : page));
            }

            @Override
            public void read(long position, long waitMs, Consumer<ReadResult> done) {
                if (position / OFFSETS_PER_ERA != knownEra) {
                    done.accept(ReadResult.restored());
                    return;
                }
                reads++;
                long end = clock.nanoTime() + waitMs * 1_000_000;
                Consumer<ReadResult> once = once(waitMs + EntryNode.STORE_READ_TIMEOUT_MS, page -> {
                    boolean rose = position / OFFSETS_PER_ERA != knownEra;
                    done.accept(rose ? ReadResult.restored() : page == null ? ReadResult.failed("no answer") : page);
                });
                clock.schedule(DELAY, () -> poll(position % OFFSETS_PER_ERA, end, false, once));
            }

            private void poll(long offset, long endNanos, boolean missedBefore, Consumer<ReadResult> done) {
                boolean missed = missedBefore || silent;
                ReadResult page = !missed && reached() ? after(name, offset) : null;
                boolean empty = page == null
                        || page.outcome() == Outcome.OK && page.records().isEmpty();
                if (empty && link.get() != Link.REFUSED && clock.nanoTime() < endNanos) {
                    clock.schedule(POLL_INTERVAL, () -> poll(offset, endNanos, missed, done));
                } else {
                    answer(name, page, done);
                }
            }
        }
    }
}
