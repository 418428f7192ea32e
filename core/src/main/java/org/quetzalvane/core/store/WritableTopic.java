package org.quetzalvane.core.store;

import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** Port to one keyed topic that the product itself writes. Responses arrive on the event loop, once each. */
public interface WritableTopic extends KeyedTopic {

    /** Number that the store's last answer stated and that rises each time the store comes back from a copy. */
    long epoch();

    /**
     * Writes and removes records in one call, all or none of them.
     *
     * @param values new values by key, none of them empty
     * @param removed keys to remove
     * @param done receives whether the store acknowledged the call; if not, the call may have been executed
     */
    void write(Map<String, byte[]> values, Set<String> removed, Consumer<Boolean> done);
}
