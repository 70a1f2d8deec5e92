import type { node } from '@tanagerpond/core';

/** The decisions of a node as the host uses them; `NodeMachine` of the core package has this form. */
export interface DecisionEngine {
  /**
   * Takes one message and returns what to do.
   * @param message - What happened.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  handle(message: node.NodeMessage, nowMs: number): readonly node.NodeCommand[];

  /**
   * Shows the state for the state dump.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  snapshot(nowMs: number): object;

  /**
   * Measures how old the beliefs behind a decision are, for a log line that is written.
   * @param basis - What took part in the decision.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  measureAges(basis: node.DecisionBasis, nowMs: number): Readonly<Record<string, number>>;

  /** Tells whether the node serves callers. */
  isServing(): boolean;

  /** Reads the counters for the metrics. */
  readCounters(): Readonly<Record<string, number>>;
}
