package org.quetzalvane.core.config;

import org.quetzalvane.core.ResultCode;

/**
 * What the fold made of one record; the same on every node. Immutable.
 *
 * @param offset offset of the record
 * @param id the record's id, empty when it could not be decoded
 * @param key the object concerned, null when it could not be decoded
 * @param code {@link ResultCode#RECORD_ACCEPTED}, {@link ResultCode#RECORD_REPEATED} or the reason of the refusal
 * @param revision revision of the object after the record; the offset of its last accepted record
 * @param message explanation for operators
 */
public record RecordOutcome(long offset, String id, ConfigKey key, ResultCode code, long revision, String message) {

    public boolean accepted() {
        return code == ResultCode.RECORD_ACCEPTED;
    }
}
