package dev.bambootray.core.ownership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.bambootray.core.ownership.FencingModel.Fault;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Explores the protocol of lease, epoch, grant and answer: at most one run of a request that is not
 * repeatable, at most one answer, and no slot granted by two owners.
 */
final class FencingModelProperties {
  private static final int STEPS = 150;

  private static Arbitrary<ActionChain<FencingModel>> chains(boolean workersRestart) {
    return ActionChain.startWith(() -> new FencingModel(Fault.NONE, workersRestart))
        .withAction(new AnyStep())
        .withMaxTransformations(STEPS);
  }

  @Provide
  Arbitrary<ActionChain<FencingModel>> stableWorkers() {
    return chains(false);
  }

  @Provide
  Arbitrary<ActionChain<FencingModel>> restartingWorkers() {
    return chains(true);
  }

  @Property(seed = "2001", tries = 1000)
  void ownersThatPauseAndAreReplacedNeitherRunNorAnswerTwice(
      @ForAll("stableWorkers") ActionChain<FencingModel> chain) {
    chain.withInvariant("safe", model -> assertEquals("", model.violation())).run();
  }

  @Property(seed = "2002", tries = 1000)
  void workersThatRestartCauseNoSecondRunIfIntentsAndCommandsNameTheirBoot(
      @ForAll("restartingWorkers") ActionChain<FencingModel> chain) {
    chain.withInvariant("safe", model -> assertEquals("", model.violation())).run();
  }

  /** The exploration must find each fault, or finding none would prove nothing. */
  @Example
  void eachDisabledRuleIsDetected() {
    for (Fault fault : Fault.values()) {
      String found = explore(fault, fault.name().endsWith("BOOT"));
      assertTrue(found.isEmpty() == (fault == Fault.NONE), fault + " " + found);
    }
  }

  /**
   * Guards against a repeated command that runs on a worker that has restarted and was adopted
   * again. Seed 2002 found the case.
   */
  @Example
  void aCommandToAnEarlierBootIsRefused() {
    String[] steps = {
      "node 2 takes over",
      "node 2 asks worker 0 for adoption",
      "node 2 reads request 0",
      "deliver adopt 0 by 1 (and again later)",
      "deliver adoption of 0 by 1 (and again later)",
      "node 2 intends request 0 on 0",
      "node 2 sends run 1",
      "deliver run 1 on 0 by 1 (and again later)",
      "worker 0 restarts",
      "deliver adopt 0 by 1",
      "deliver run 1 on 0 by 1"
    };
    FencingModel faulty = new FencingModel(Fault.COMMAND_DOES_NOT_NAME_THE_BOOT, true);
    faulty.play(steps);
    assertFalse(faulty.violation().isEmpty());
    FencingModel model = new FencingModel(Fault.NONE, true);
    model.play(steps);
    assertEquals("", model.violation());
  }

  private static String explore(Fault fault, boolean workersRestart) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(2003);
    for (int run = 0; run < 20_000; run++) {
      FencingModel model = new FencingModel(fault, workersRestart);
      for (int i = 0; i < STEPS; i++) {
        model.step(random.nextInt(1 << 20));
        if (!model.violation().isEmpty()) {
          return model.violation();
        }
      }
    }
    return "";
  }

  private static final class AnyStep implements Action.Independent<FencingModel> {
    @Override
    public Arbitrary<Transformer<FencingModel>> transformer() {
      return Arbitraries.integers()
          .between(0, 1 << 20)
          .map(choice -> Transformer.mutate("step " + choice, model -> model.step(choice)));
    }
  }
}
