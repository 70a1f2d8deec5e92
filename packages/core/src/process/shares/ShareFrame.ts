import type * as wire from '@tanagerpond/wire';

/** Body of a frame that the rate limiter handles. */
export type ShareFrame =
  | { readonly case: 'shareRequest'; readonly value: wire.ShareRequest }
  | { readonly case: 'shareGrant'; readonly value: wire.ShareGrant }
  | { readonly case: 'shareReturn'; readonly value: wire.ShareReturn };
