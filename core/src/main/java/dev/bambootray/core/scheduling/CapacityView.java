package dev.bambootray.core.scheduling;

import dev.bambootray.core.model.Shape;

/** The part of the capacity of a worker that a placement search may use. */
enum CapacityView {
  /** Everything that is not granted or held, including guaranteed cells. */
  FREE {
    @Override
    long mask(PoolWorker worker) {
      return worker.takesWork() ? worker.freeMask() : 0;
    }

    @Override
    int millicores(PoolWorker worker) {
      return worker.freeMillicores();
    }

    @Override
    int memoryMib(PoolWorker worker) {
      return worker.freeMemoryMib();
    }
  },
  /** Everything that is not granted, held or needed by a guaranteed cell. */
  SPARE {
    @Override
    long mask(PoolWorker worker) {
      return worker.takesWork() ? worker.spareMask() : 0;
    }

    @Override
    int millicores(PoolWorker worker) {
      return Math.min(
          worker.freeMillicores(),
          worker.millicores - worker.pinnedMillicores - worker.cellMillicores);
    }

    @Override
    int memoryMib(PoolWorker worker) {
      return Math.min(
          worker.freeMemoryMib(), worker.memoryMib - worker.pinnedMemoryMib - worker.cellMemoryMib);
    }
  },
  /** Capacity to which a cell may be bound: all except other cells and work that must not stop. */
  BINDABLE {
    @Override
    long mask(PoolWorker worker) {
      return worker.takesWork() && !worker.probation
          ? worker.allMask & ~worker.nonPreemptibleMask & ~worker.cellMask & ~worker.heldMask
          : 0;
    }

    @Override
    int millicores(PoolWorker worker) {
      return worker.millicores - worker.pinnedMillicores - worker.cellMillicores;
    }

    @Override
    int memoryMib(PoolWorker worker) {
      return worker.memoryMib - worker.pinnedMemoryMib - worker.cellMemoryMib;
    }
  },
  /** Capacity for a job whose reservation is overdue: all except work that must not stop. */
  STOPPABLE {
    @Override
    long mask(PoolWorker worker) {
      return worker.takesWork() && !worker.probation
          ? worker.allMask & ~worker.nonPreemptibleMask & ~worker.heldMask
          : 0;
    }

    @Override
    int millicores(PoolWorker worker) {
      return worker.millicores - worker.pinnedMillicores;
    }

    @Override
    int memoryMib(PoolWorker worker) {
      return worker.memoryMib - worker.pinnedMemoryMib;
    }
  },
  /** The declared capacity, regardless of the state of the worker. */
  DECLARED {
    @Override
    long mask(PoolWorker worker) {
      return worker.allMask;
    }

    @Override
    int millicores(PoolWorker worker) {
      return worker.millicores;
    }

    @Override
    int memoryMib(PoolWorker worker) {
      return worker.memoryMib;
    }
  };

  abstract long mask(PoolWorker worker);

  abstract int millicores(PoolWorker worker);

  abstract int memoryMib(PoolWorker worker);

  /** Returns how many members of the shape the worker can take. */
  int fit(PoolWorker worker, Shape shape) {
    int fit = AcceleratorMasks.countRuns(mask(worker), shape.acceleratorsPerMember());
    if (shape.millicoresPerMember() > 0) {
      fit = Math.min(fit, Math.max(0, millicores(worker)) / shape.millicoresPerMember());
    }
    if (shape.memoryMibPerMember() > 0) {
      fit = Math.min(fit, Math.max(0, memoryMib(worker)) / shape.memoryMibPerMember());
    }
    return fit;
  }
}
