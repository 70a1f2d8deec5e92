import * as crypto from 'node:crypto';
import type { VmIdentity } from '../membership/index.js';
import { parseTicket } from './parseTicket.js';
import type { Ticket } from './Ticket.js';

const SECRET_BYTES = 32;

/** Result of the check of a ticket. */
export type TicketCheck =
  | { readonly kind: 'valid'; readonly ticket: Ticket }
  | { readonly kind: 'invalid' }
  | { readonly kind: 'expired' };

/** Mints and checks the tickets of one incarnation, signed with a secret that never leaves the process. */
export class TicketIssuer {
  readonly #self: VmIdentity;

  readonly #secret: Buffer;

  #minted = 0;

  /**
   * @param self - VM and incarnation that the tickets name.
   * @param secret - Key of the message authentication code, 32 bytes; random unless a test needs a fixed one.
   */
  constructor(self: VmIdentity, secret: Buffer = crypto.randomBytes(SECRET_BYTES)) {
    this.#self = self;
    this.#secret = secret;
  }

  /**
   * Mints a ticket for one run of a route that is not repeatable.
   * @param workspace - The only workspace that may use the ticket.
   * @param route - Route name.
   * @param expiryMs - Expiry on this node's monotonic clock, in milliseconds.
   */
  mint(workspace: string, route: string, expiryMs: number): string {
    this.#minted += 1;
    const fields = [
      this.#self.name,
      this.#self.incarnation,
      workspace,
      route,
      `t${this.#minted}`,
      Math.floor(expiryMs),
    ];
    const payload = Buffer.from(JSON.stringify(fields), 'utf8').toString('base64url');
    return `${payload}.${this.#computeCode(payload)}`;
  }

  /**
   * Checks that this incarnation minted a ticket for the workspace and route, and that it has not expired.
   * @param text - Ticket as received.
   * @param workspace - Workspace of the request.
   * @param route - Route of the request.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  check(text: string, workspace: string, route: string, nowMs: number): TicketCheck {
    const parsed = parseTicket(text);
    if (parsed === undefined || !this.#hasValidCode(parsed.payload, parsed.code)) {
      return { kind: 'invalid' };
    }
    const { ticket } = parsed;
    if (ticket.workspace !== workspace || ticket.route !== route) {
      return { kind: 'invalid' };
    }
    return nowMs < ticket.expiryMs ? { kind: 'valid', ticket } : { kind: 'expired' };
  }

  #computeCode(payload: string): string {
    return crypto.createHmac('sha256', this.#secret).update(payload).digest('base64url');
  }

  #hasValidCode(payload: string, code: string): boolean {
    const expected = Buffer.from(this.#computeCode(payload));
    const given = Buffer.from(code);
    return expected.length === given.length && crypto.timingSafeEqual(expected, given);
  }
}
