package org.quetzalvane.core.team;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.quetzalvane.core.event.EventCode;

import static org.assertj.core.api.Assertions.assertThat;

/** Ends and broken connections that no prompt part causes: nothing is condemned. Seeded runs on a manual clock. */
class OrdinaryCrashTest {
    private static final int SEEDS = 3;
    private static final int SLOW_FLAP_SEEDS = 20;
    private static final int NODES = 9;
    private static final int ENGINES = 8;
    private static final int RARE_PARTS = 100;
    private static final long RUN_MS = 30_000;

    /** What happens to the engines. */
    enum Trouble {
        ORDINARY_CRASHES {
            @Override
            void begin(EngineSimulation s) {
                s.happens(0.5, RUN_MS, () -> any(s).end(EngineSimulation.BACK_AFTER_MS));
            }
        },
        ALL_AT_ONCE {
            @Override
            void begin(EngineSimulation s) {
                s.happens(0.1, RUN_MS, () -> s.engines.forEach(e -> e.end(EngineSimulation.BACK_AFTER_MS)));
            }
        },
        WAVE_OF_SOME_SECONDS {
            @Override
            void begin(EngineSimulation s) {
                for (int round = 0; round < 2; round++) {
                    for (int i = 0; i < ENGINES; i++) {
                        long at = 5_000 + round * 12_000 + s.network.random.nextLong(4_000);
                        EngineSimulation.Engine e = s.engines.get(i);
                        s.at(at, () -> e.end(EngineSimulation.BACK_AFTER_MS));
                    }
                }
            }
        },
        TWO_FLAPPING {
            @Override
            void begin(EngineSimulation s) {
                flap(s, s.engines.get(0));
                flap(s, s.engines.get(1));
            }
        },
        ALL_FLAPPING {
            @Override
            void begin(EngineSimulation s) {
                s.at(3_000, () -> s.engines.forEach(e -> flap(s, e)));
            }
        },
        RELEASES {
            @Override
            void begin(EngineSimulation s) {
                for (int i = 0; i < ENGINES; i++) {
                    EngineSimulation.Engine e = s.engines.get(i);
                    s.at(3_000 + 2_000L * i, () -> e.end(1_500));
                }
            }
        },
        CONNECTION_RESETS {
            @Override
            void begin(EngineSimulation s) {
                s.happens(1, RUN_MS, () -> s.engines.forEach(EngineSimulation.Engine::breakConnections));
            }
        },
        RESETS_OF_ONE_ENGINE {
            @Override
            void begin(EngineSimulation s) {
                s.happens(2, RUN_MS, () -> any(s).breakConnections());
            }
        },
        TRUNCATED_RESPONSES {
            @Override
            void begin(EngineSimulation s) {
                s.happens(10, RUN_MS, () -> any(s).truncateOne());
            }
        };

        abstract void begin(EngineSimulation s);

        private static EngineSimulation.Engine any(EngineSimulation s) {
            return s.engines.get(s.network.random.nextInt(s.engines.size()));
        }

        private static void slowFlap(EngineSimulation s, EngineSimulation.Engine e) {
            e.end(EngineSimulation.BACK_AFTER_MS);
            long next = EngineSimulation.BACK_AFTER_MS + 100 + s.network.random.nextLong(900);
            s.at(next, () -> slowFlap(s, e));
        }

        private static void flap(EngineSimulation s, EngineSimulation.Engine e) {
            long back = 500 + s.network.random.nextLong(1_000);
            e.end(back);
            s.at(back + 100 + s.network.random.nextLong(900), () -> flap(s, e));
        }
    }

    @ParameterizedTest
    @EnumSource(Trouble.class)
    void nothingIsCondemned(Trouble trouble) {
        assertThat(condemned(trouble::begin)).isEmpty();
    }

    /** Each instance ends within a second of coming back, 6 s after the one before it. */
    @Test
    void nothingIsCondemnedWhileAllEnginesFlapSlowly() {
        assertThat(condemned(SLOW_FLAP_SEEDS, s -> s.at(3_000, () -> s.engines.forEach(e -> Trouble.slowFlap(s, e)))))
                .isEmpty();
    }

    /** Requests that fail come again and again, and some have the same content as others. */
    @ParameterizedTest
    @EnumSource(Trouble.class)
    void nothingIsCondemnedThoughCallersRepeatSoundRequests(Trouble trouble) {
        for (boolean plain : new boolean[] {true, false}) {
            assertThat(condemned(s -> {
                        s.plain = plain;
                        s.callerRepeats = 3;
                        s.happens(10, RUN_MS, s::popularRequest);
                        trouble.begin(s);
                    }))
                    .as("plain service: %s", plain)
                    .isEmpty();
        }
    }

    /** First condemnation of each seed with one. */
    private static List<String> condemned(Consumer<EngineSimulation> trouble) {
        return condemned(SEEDS, trouble);
    }

    private static List<String> condemned(int seeds, Consumer<EngineSimulation> trouble) {
        List<String> lines = new ArrayList<>();
        for (int seed = 1; seed <= seeds; seed++) {
            QuarantineNetwork network = new QuarantineNetwork(NODES, RandomSource.XO_RO_SHI_RO_128_PP.create(seed));
            EngineSimulation s = new EngineSimulation(network, ENGINES);
            s.arrivals(100, RUN_MS, () -> s.soundParts(RARE_PARTS));
            trouble.accept(s);
            network.advance(RUN_MS);
            if (network.events.containsKey(EventCode.PROMPT_CONDEMNED)) {
                lines.add("seed " + seed + ": " + network.condemnedLines.get(0));
            }
        }
        return lines;
    }
}
