import type { Frame } from '@tanagerpond/wire';

/** What the share ledger asks of the node. */
export type ShareCommand =
  | { readonly kind: 'sendRequest' | 'sendReply'; readonly peer: string; readonly frame: Frame }
  | { readonly kind: 'granted'; readonly requestId: string }
  | { readonly kind: 'denied'; readonly requestId: string; readonly retryAfterMs: number };
