package dev.bambootray.core.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.model.Adjacency;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against declarations that guarantee more than the pool holds. */
final class GuaranteeCheckTest {
  private final PoolFixture fixture = new PoolFixture().racks(2, 2);

  @Test
  void acceptsGuaranteesThatFillThePool() {
    fixture
        .workspace("a", PoolFixture.guarantee(1, PoolFixture.shape(2, 8, Adjacency.RACK)))
        .workspace("b", PoolFixture.guarantee(4, PoolFixture.shape(1, 4, Adjacency.REGION)));
    assertTrue(GuaranteeCheck.missing(fixture.declaration(), PoolFixture.REGION).isEmpty());
  }

  @Test
  void reportsEachGuaranteeThatCannotBePlaced() {
    fixture
        .workspace("a", PoolFixture.guarantee(3, PoolFixture.shape(2, 8, Adjacency.RACK)))
        .workspace("b", PoolFixture.guarantee(1, PoolFixture.shape(1, 9, Adjacency.REGION)));
    List<MissingGuarantee> missing =
        GuaranteeCheck.missing(fixture.declaration(), PoolFixture.REGION);
    assertEquals(2, missing.size());
    assertEquals(1, missing.get(0).missingCount());
    assertTrue(missing.get(1).missing().contains("1 x 9 adjacent accelerators"));
  }
}
