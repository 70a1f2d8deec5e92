import type { documents, node } from '@tanagerpond/core';
import type { Log } from '../process/log/index.js';
import type { Counters } from '../process/metrics/index.js';
import type { Settings } from '../process/settings/index.js';

/** Parts of the process that a configuration source uses. */
export interface ConfigurationSourceContext {
  readonly settings: Settings;
  readonly publish: (message: node.NodeMessage) => void;
  readonly counters: Counters;
  readonly log: Log;
  /** Returns the monotonic time in milliseconds. */
  readonly now: () => number;
}

/** Source of the configuration and the VM list. Publishes what it reads as messages. */
export interface ConfigurationSource extends AsyncDisposable {
  /** Starts reading. */
  start(): void;

  /** Reads the configuration once, on a command of the decision engine. */
  readConfiguration(): void;

  /**
   * Starts or stops watching what the decision engine may also get from peers, on its command.
   * @param enabled - Whether to watch.
   * @param meanWaitMs - Mean time for which a call may wait for changes, in milliseconds; the setting if undefined.
   */
  setWatch(enabled: boolean, meanWaitMs?: number): void;

  /** Gives up the open connections of the watch, which may be silent, and calls the source again. */
  renewWatch(): void;

  /**
   * Accepts changes of a document from a peer, which may be newer than what was read.
   * @param update - Changes, or all items.
   */
  acceptDocument(update: documents.DocumentUpdate): void;
}
