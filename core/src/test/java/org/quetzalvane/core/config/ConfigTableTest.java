package org.quetzalvane.core.config;

import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.model.AdapterVersion;

import static org.assertj.core.api.Assertions.assertThat;

/** Decoding and application of configuration records. */
class ConfigTableTest {
    private final ConfigTable table = new ConfigTable();
    private long next;

    private RecordOutcome apply(String json) {
        return table.apply(next++, json.replace('\'', '"').getBytes(StandardCharsets.UTF_8))
                .orElseThrow();
    }

    @Test
    void bothSchemasDecodeIntoTheSameModel() {
        apply("{'schema':1,'id':'1','type':'base-model','name':'b','rev':0}");
        apply("{'schema':2,'id':'2','kind':'adapter','name':'a','expectedRevision':0,'value':{'baseModel':'b'}}");
        RecordOutcome v = apply("{'schema':1,'id':'3','type':'version','name':'a@1','rev':0,"
                + "'adapter':'a','version':1,'weights':'w'}");
        assertThat(v.code()).isEqualTo(ResultCode.RECORD_ACCEPTED);
        boolean known = table.read(s -> s.version(new AdapterVersion("a", 1)).isPresent());
        assertThat(known).isTrue();
    }

    @Test
    void conflictingRecordIsRejectedAndRepeatHasNoEffect() {
        String first = "{'schema':2,'id':'1','kind':'base-model','name':'b','expectedRevision':0,'value':{}}";
        assertThat(apply(first).code()).isEqualTo(ResultCode.RECORD_ACCEPTED);
        assertThat(apply(first.replace("'id':'1'", "'id':'2'")).code()).isEqualTo(ResultCode.REVISION_CONFLICT);
        assertThat(apply(first).code()).isEqualTo(ResultCode.RECORD_REPEATED);
    }

    @Test
    void rejectsRecordOverSizeLimit() {
        String long20k = "n".repeat(20_000);
        RecordOutcome o = apply("{'schema':1,'id':'1','type':'base-model','name':'" + long20k + "','rev':0}");
        assertThat(o.code()).isEqualTo(ResultCode.RECORD_MALFORMED);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "not json | RECORD_MALFORMED",
                "{'schema':3,'id':'1'} | UNKNOWN_SCHEMA",
                "{'schema':1,'id':'1','type':'base-model','name':'\\ud800','rev':0} | RECORD_MALFORMED",
                "{'schema':2,'id':'1','kind':'adapter','name':'a','expectedRevision':0,'value':{}} | RECORD_MALFORMED",
                "{'schema':2,'id':'1','kind':'adapter','name':'a','expectedRevision':0,'value':{'baseModel':'x'}}"
                        + " | RECORD_INVALID"
            })
    void rejectsUnusableRecordAndAdvancesOffset(String json, ResultCode expected) {
        assertThat(apply(json).code()).isEqualTo(expected);
        assertThat(table.appliedOffset()).isZero();
    }
}
