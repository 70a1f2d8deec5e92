import type { Ticket } from './Ticket.js';

/** Largest length of a ticket, in characters. */
const TICKET_LENGTH_LIMIT = 1024;

const FIELD_COUNT = 6;

/** A ticket with the parts that its issuer needs to check it. */
export interface ParsedTicket {
  readonly ticket: Ticket;
  /** Text that the message authentication code covers. */
  readonly payload: string;
  /** Message authentication code of the payload: HMAC-SHA-256 as base64url text. */
  readonly code: string;
}

/**
 * Decodes a ticket without checking its message authentication code, which only the issuer can do.
 * @param text - Value of the header `tanagerpond-ticket`.
 * @returns The parts, or undefined if the text is not a ticket.
 */
export function parseTicket(text: string): ParsedTicket | undefined {
  if (text.length > TICKET_LENGTH_LIMIT) {
    return undefined;
  }
  const [payload, code, ...rest] = text.split('.');
  if (payload === undefined || code === undefined || rest.length > 0) {
    return undefined;
  }
  const ticket = readFields(decodeFields(payload));
  return ticket === undefined ? undefined : { ticket, payload, code };
}

function decodeFields(payload: string): unknown {
  try {
    return JSON.parse(Buffer.from(payload, 'base64url').toString('utf8'));
  } catch {
    return undefined;
  }
}

function readFields(fields: unknown): Ticket | undefined {
  if (!Array.isArray(fields) || fields.length !== FIELD_COUNT) {
    return undefined;
  }
  const [vm, incarnation, workspace, route, id, expiryMs] = fields as unknown[];
  const names = [vm, incarnation, workspace, route, id];
  if (!names.every((name) => typeof name === 'string') || !Number.isFinite(expiryMs)) {
    return undefined;
  }
  return { vm, incarnation, workspace, route, id, expiryMs } as Ticket;
}
