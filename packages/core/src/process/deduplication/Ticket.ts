/** Content of a ticket: a server-issued idempotency key that is bound to one incarnation of one VM's node. */
export interface Ticket {
  readonly vm: string;
  readonly incarnation: string;
  readonly workspace: string;
  /** Route name, `service.name`. */
  readonly route: string;
  /** Unique among the tickets of the incarnation. */
  readonly id: string;
  /** Expiry on the issuing node's monotonic clock, in milliseconds. */
  readonly expiryMs: number;
}
