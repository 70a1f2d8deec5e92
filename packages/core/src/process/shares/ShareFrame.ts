import type * as wire from '@tanagerpond/wire';

/** Bodies of the frames that the share ledger receives. */
export type ShareFrame =
  | { readonly case: 'shareRequest'; readonly value: wire.ShareRequest }
  | { readonly case: 'shareGrant'; readonly value: wire.ShareGrant }
  | { readonly case: 'shareReturn'; readonly value: wire.ShareReturn };
