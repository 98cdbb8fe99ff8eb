package dev.bambootray.jobs;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Guards against decisions that read a clock, start a thread, open a socket or write a log. */
final class JobsPurityTest {
  private final JavaClasses jobs =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("dev.bambootray.jobs");

  @Test
  void jobsUsesNoThreadsSocketsFilesOrLoggers() {
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
        .check(jobs);
  }

  @Test
  void jobsReadsNoClockAndNoHiddenRandomness() {
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
        .check(jobs);
  }
}
