import type { Frame } from '@tanagerpond/wire';

/** Command of the rate limiter to the node: send a frame, or admit or refuse a waiting request. */
export type ShareCommand =
  | { readonly kind: 'sendRequest' | 'sendReply'; readonly peer: string; readonly frame: Frame }
  | { readonly kind: 'granted'; readonly requestId: string }
  | { readonly kind: 'denied'; readonly requestId: string; readonly retryAfterMs: number };
