import type { documents, node } from '@tanagerpond/core';
import type { Log } from '../process/log/index.js';
import type { Counters } from '../process/metrics/index.js';
import type { Settings } from '../process/settings/index.js';

/** What a source of configuration and VM list gets from the process. */
export interface ConfigurationSourceContext {
  readonly settings: Settings;
  readonly publish: (message: node.NodeMessage) => void;
  readonly counters: Counters;
  readonly log: Log;
  /** Monotonic milliseconds. */
  readonly now: () => number;
}

/** Where the configuration and the list of VMs come from. It publishes what it reads as messages. */
export interface ConfigurationSource extends AsyncDisposable {
  /** Begins to read. */
  start(): void;

  /** Reads the configuration once, at the request of the decisions. */
  readConfiguration(): void;

  /**
   * Begins or ends the watch of the configuration, at the request of the decisions.
   * @param enabled - Whether to watch.
   */
  setConfigurationWatch(enabled: boolean): void;

  /**
   * Takes a document of a peer, which may be newer than what was read.
   * @param document - The document.
   */
  acceptDocument(document: documents.PublishedDocument): void;
}
