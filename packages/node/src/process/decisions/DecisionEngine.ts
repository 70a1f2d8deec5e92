import type { node } from '@tanagerpond/core';

/**
 * Makes the decisions of a node about admission, routing, shedding and retries, without any input or output of its own.
 * `NodeStateMachine` of the core package implements it.
 */
export interface DecisionEngine {
  /**
   * Handles one message and returns the commands to execute, in order.
   * @param message - Event of the process.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  handle(message: node.NodeMessage, nowMs: number): readonly node.NodeCommand[];

  /**
   * Returns the state for the state dump.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  snapshot(nowMs: number): object;

  /**
   * Returns the ages, in milliseconds, of the information that a decision was based on, for its log line.
   * @param basis - Information that took part in the decision.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  measureAges(basis: node.DecisionBasis, nowMs: number): Readonly<Record<string, number>>;

  /** Returns whether the node serves callers. */
  isServing(): boolean;

  /** Returns the counters for the metrics. */
  readCounters(): Readonly<Record<string, number>>;
}
