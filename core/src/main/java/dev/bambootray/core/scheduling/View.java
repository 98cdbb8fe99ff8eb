package dev.bambootray.core.scheduling;

import dev.bambootray.core.model.Shape;

/** Which part of a worker a search may use. */
enum View {
  /** Everything that is not granted, cells included. */
  FREE {
    @Override
    long mask(WorkerSlot worker) {
      return worker.takesWork() ? worker.freeMask() : 0;
    }

    @Override
    int millicores(WorkerSlot worker) {
      return worker.freeMillicores();
    }

    @Override
    int memoryMib(WorkerSlot worker) {
      return worker.freeMemoryMib();
    }
  },
  /** What is not granted and not needed by any guaranteed cell. */
  SPARE {
    @Override
    long mask(WorkerSlot worker) {
      return worker.takesWork() ? worker.spareMask() : 0;
    }

    @Override
    int millicores(WorkerSlot worker) {
      return Math.min(
          worker.freeMillicores(),
          worker.millicores - worker.pinnedMillicores - worker.cellMillicores);
    }

    @Override
    int memoryMib(WorkerSlot worker) {
      return Math.min(
          worker.freeMemoryMib(), worker.memoryMib - worker.pinnedMemoryMib - worker.cellMemoryMib);
    }
  },
  /** What a guaranteed cell may be bound to: all but other cells and work that must go on. */
  BINDABLE {
    @Override
    long mask(WorkerSlot worker) {
      return worker.takesWork() && !worker.probation
          ? worker.allMask & ~worker.fixedMask & ~worker.cellMask & ~worker.heldMask
          : 0;
    }

    @Override
    int millicores(WorkerSlot worker) {
      return worker.millicores - worker.pinnedMillicores - worker.cellMillicores;
    }

    @Override
    int memoryMib(WorkerSlot worker) {
      return worker.memoryMib - worker.pinnedMemoryMib - worker.cellMemoryMib;
    }
  },
  /** What a job may take whose reservation is overdue: all but work that must go on. */
  STOPPABLE {
    @Override
    long mask(WorkerSlot worker) {
      return worker.takesWork() && !worker.probation
          ? worker.allMask & ~worker.fixedMask & ~worker.heldMask
          : 0;
    }

    @Override
    int millicores(WorkerSlot worker) {
      return worker.millicores - worker.pinnedMillicores;
    }

    @Override
    int memoryMib(WorkerSlot worker) {
      return worker.memoryMib - worker.pinnedMemoryMib;
    }
  },
  /** The whole worker, whatever its state. */
  DECLARED {
    @Override
    long mask(WorkerSlot worker) {
      return worker.allMask;
    }

    @Override
    int millicores(WorkerSlot worker) {
      return worker.millicores;
    }

    @Override
    int memoryMib(WorkerSlot worker) {
      return worker.memoryMib;
    }
  };

  abstract long mask(WorkerSlot worker);

  abstract int millicores(WorkerSlot worker);

  abstract int memoryMib(WorkerSlot worker);

  /** Returns how many members of the shape the worker can take. */
  int fit(WorkerSlot worker, Shape shape) {
    int fit = Runs.count(mask(worker), shape.acceleratorsPerMember());
    if (shape.millicoresPerMember() > 0) {
      fit = Math.min(fit, Math.max(0, millicores(worker)) / shape.millicoresPerMember());
    }
    if (shape.memoryMibPerMember() > 0) {
      fit = Math.min(fit, Math.max(0, memoryMib(worker)) / shape.memoryMibPerMember());
    }
    return fit;
  }
}
