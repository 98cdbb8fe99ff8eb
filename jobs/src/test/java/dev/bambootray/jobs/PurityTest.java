package dev.bambootray.jobs;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/**
 * Checks that decision code reads no clock, starts no thread, opens no socket and writes no log.
 */
final class PurityTest {
  private final JavaClasses decisionCode =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("dev.bambootray.core", "dev.bambootray.jobs");

  @Test
  void bothModulesAreChecked() {
    assertTrue(decisionCode.contain("dev.bambootray.core.model.Resources"));
    assertTrue(decisionCode.contain("dev.bambootray.jobs.scheduling.JobScheduler"));
  }

  @Test
  void decisionsUseNoThreadsSocketsFilesOrLoggers() {
    noClasses()
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "java.net..",
            "java.nio.channels..",
            "java.nio.file..",
            "java.util.concurrent..",
            "java.util.logging..",
            "java.time..",
            "org.tinylog..",
            "io.netty..",
            "com.lmax..")
        .orShould()
        .dependOnClassesThat()
        .areAssignableTo(Thread.class)
        .check(decisionCode);
  }

  @Test
  void decisionsReadNoClockAndNoHiddenRandomness() {
    noClasses()
        .should()
        .callMethod(System.class, "currentTimeMillis")
        .orShould()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(Math.class, "random")
        .orShould()
        .dependOnClassesThat()
        .haveFullyQualifiedName("java.util.Random")
        .check(decisionCode);
  }
}
