package dev.bambootray.soak;

import static java.nio.file.StandardOpenOption.APPEND;
import static java.nio.file.StandardOpenOption.CREATE;

import dev.bambootray.soak.wire.Documents;
import dev.bambootray.standins.FreePorts;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** A node as a process of its own; used by one thread. */
final class NodeProcess {
  private static final int KILLED = 137;
  private static final int TERMINATED = 143;

  /** A node that gets SIGTERM earlier than this after its start may end by the signal itself. */
  private static final long STARTING_MS = 2_000;

  private static final int GRACE_S = 6;

  /** Memory as in the deploy file, so that a few nodes fit beside each other. */
  private static final List<String> JVM =
      List.of(
          "-Xmx128m",
          "-Xss256k",
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-XX:+ExitOnOutOfMemoryError");

  private final String name;
  private final Path directory;
  private final int frontPort;
  private Path program;
  private @Nullable Process process;
  private boolean stopping;
  private boolean killed;
  private boolean paused;
  private long startedNanos;
  private boolean stoppedEarly;

  private NodeProcess(String name, Path program, Path directory, int frontPort) {
    this.name = name;
    this.program = program;
    this.directory = directory;
    this.frontPort = frontPort;
  }

  /** Writes the settings of a node that meets the store at a port; starts nothing. */
  static NodeProcess create(String name, Path program, Path directory, int storePort) {
    int frontPort = FreePorts.next();
    int readyPort = FreePorts.next();
    // The port for other nodes follows the one for metrics.
    int metricsPort = FreePorts.nextPair();
    byte[] settings =
        Documents.settings(name, frontPort, readyPort, metricsPort, storePort, GRACE_S);
    try {
      Files.write(directory.resolve(name + ".json"), settings);
    } catch (IOException e) {
      throw new UncheckedIOException("cannot write the settings of " + name, e);
    }
    return new NodeProcess(name, program, directory, frontPort);
  }

  String name() {
    return name;
  }

  int frontPort() {
    return frontPort;
  }

  boolean isUp() {
    return process != null && process.isAlive();
  }

  /** Sets the program of the next start. */
  void setProgram(Path newProgram) {
    program = newProgram;
  }

  /** Starts the node, if it is down: two processes of one node would share its name and ports. */
  void start() {
    if (isUp()) {
      return;
    }
    stopping = false;
    killed = false;
    paused = false;
    stoppedEarly = false;
    startedNanos = System.nanoTime();
    List<String> command = new ArrayList<>(List.of("java"));
    command.addAll(JVM);
    command.addAll(List.of("-jar", program.toString()));
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().put("BAMBOOTRAY_SETTINGS", directory.resolve(name + ".json").toString());
    Path log = directory.resolve(name + ".log");
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    try {
      Files.writeString(log, "soak: starts " + program + "\n", CREATE, APPEND);
      process = builder.start();
    } catch (IOException e) {
      throw new UncheckedIOException("cannot start " + name, e);
    }
  }

  /** Sends SIGTERM. */
  void stop() {
    stopping = true;
    stoppedEarly = System.nanoTime() - startedNanos < STARTING_MS * 1_000_000;
    signal("TERM");
  }

  /** Sends SIGKILL and waits for the end. */
  void kill() throws InterruptedException {
    killed = true;
    Process running = process;
    if (running != null) {
      running.destroyForcibly().waitFor();
    }
  }

  void pause() {
    paused = true;
    signal("STOP");
  }

  void resume() {
    paused = false;
    signal("CONT");
  }

  void reload() {
    signal("HUP");
  }

  private void signal(String signal) {
    Process running = process;
    if (running == null || !running.isAlive()) {
      return;
    }
    try {
      new ProcessBuilder("kill", "-" + signal, String.valueOf(running.pid())).start().waitFor();
    } catch (IOException e) {
      throw new UncheckedIOException("cannot send SIG" + signal + " to " + name, e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits for the end of a node that was told to stop, and kills it after the grace period. */
  void awaitEnd(PromiseBook book) throws InterruptedException {
    Process running = process;
    if (running == null) {
      return;
    }
    if (!running.waitFor(GRACE_S, TimeUnit.SECONDS)) {
      if (!paused) {
        book.violate(name, "did not end within " + GRACE_S + " s of SIGTERM");
      }
      kill();
    }
  }

  /** Returns what is wrong with the way in which the node has ended, or an empty text. */
  String unexpectedEnd() {
    Process running = process;
    if (running == null || running.isAlive()) {
      return "";
    }
    int code = running.exitValue();
    boolean stopped = stopping && (code == 0 || (stoppedEarly && code == TERMINATED));
    boolean right = stopped || (killed && code == KILLED);
    return right ? "" : "ended by itself with code " + code;
  }
}
