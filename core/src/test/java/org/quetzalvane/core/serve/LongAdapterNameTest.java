package org.quetzalvane.core.serve;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalvane.core.ResultCode;
import org.quetzalvane.core.routes.AdapterRef;
import org.quetzalvane.core.routes.RouteKind;

import static org.assertj.core.api.Assertions.assertThat;

/** Names of adapters as long as a head may be, which are kept and sent to peers for as long as their requests wait. */
class LongAdapterNameTest extends RequestFlowFixture {

    @ParameterizedTest
    @CsvSource({"1, 255, false", "1, 256, true", "255, 1, false", "256, 1, true", "15000, 0, true"})
    void requestForANameThatNoAdapterHasIsRefusedAtOnce(int modelLength, int adapterLength, boolean refused) {
        start(RouteKind.STREAMING, new AdapterRef("m".repeat(modelLength), "a".repeat(adapterLength)));
        assertThat(response.errorCode == ResultCode.UNKNOWN_ADAPTER).isEqualTo(refused);
        if (refused) {
            assertThat(loader.engines).isEmpty();
        }
    }
}
