package dev.bambootray.core.routing;

/** Judges a target whose runs fail. */
interface EjectionPolicy {

  /** What is done with a failing target. */
  enum Verdict {
    /** It stays in use. */
    KEEP,
    /** It fails unlike the others, but too many are ejected already; it gets one run at a time. */
    PACE,
    /** It is taken out of use. */
    EJECT
  }

  /** Returns what is done with a target that has just failed a run. */
  Verdict judge(Target target, double maxShare);
}
