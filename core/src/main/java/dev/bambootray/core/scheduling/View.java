package dev.bambootray.core.scheduling;

import dev.bambootray.core.model.Shape;

/** The part of the capacity of a worker that a placement search may use. */
enum View {
  /** Everything that is not granted or held, including guaranteed cells. */
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
  /** Everything that is not granted, held or needed by a guaranteed cell. */
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
  /** Capacity to which a cell may be bound: all except other cells and work that must not stop. */
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
  /** Capacity for a job whose reservation is overdue: all except work that must not stop. */
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
  /** The declared capacity, regardless of the state of the worker. */
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
