package dev.bambootray.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Guards against decisions that read a clock, start a thread, open a socket or write a log. */
final class CorePurityTest {
  private final JavaClasses core =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("dev.bambootray.core");

  @Test
  void coreUsesNoThreadsSocketsFilesOrLoggers() {
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
        .check(core);
  }

  @Test
  void coreReadsNoClockAndNoHiddenRandomness() {
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
        .check(core);
  }
}
