package org.quetzalvane.core.config;

import org.quetzalvane.core.ResultCode;

/**
 * The outcome of applying one configuration record; the same on every node. Immutable.
 *
 * @param offset offset of the record
 * @param id identifier of the record, empty when the record could not be decoded
 * @param key key of the object, null when the record could not be decoded
 * @param code {@link ResultCode#RECORD_ACCEPTED}, {@link ResultCode#RECORD_REPEATED} or the reason of the rejection
 * @param revision revision of the object after the record was applied
 * @param message explanation for operators
 */
public record RecordOutcome(long offset, String id, ConfigKey key, ResultCode code, long revision, String message) {

    public boolean accepted() {
        return code == ResultCode.RECORD_ACCEPTED;
    }
}
