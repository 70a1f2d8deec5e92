import type { Answer, Refused } from '@tanagerpond/wire';
import type { NodeServices } from '../../process/node/NodeServices.js';
import { computeRetryAfter } from '../computeRetryAfter.js';
import { createRefusal, type Refusal, type RefusalReason } from '../refusals.js';
import type { AttemptSender } from './AttemptSender.js';
import { decideRetry } from './decideRetry.js';
import type { Attempt, OutboundCall } from './OutboundCall.js';
import type { OutboundCallCloser } from './OutboundCallCloser.js';
import type { OutboundCallTable } from './OutboundCallTable.js';
import { toRoutingOutcome } from './toRoutingOutcome.js';
import { hasAttemptsLeft } from './hasAttemptsLeft.js';
import { decodeRefusal } from './decodeRefusal.js';
import type { TicketRequests } from './TicketRequests.js';

/** Refusal reasons that count as a lack of capacity. */
const CAPACITY_REASONS: ReadonlySet<RefusalReason> = new Set(['overloaded', 'deadlineExpired']);

/** Lowest status of a failed answer. */
const FIRST_FAILURE = 400;

/** Base of the jittered `retry-after` when a VM could not be reached, in milliseconds. */
const UNREACHABLE_RETRY_MS = 1_000;

/** Parts of the outbound side that attempts depend on. */
export interface AttemptParts {
  readonly table: OutboundCallTable;
  readonly sender: AttemptSender;
  readonly closer: OutboundCallCloser;
  readonly ticketRequests: TicketRequests;
}

/**
 * Sends attempts, handles how they end (by an answer, a refusal, or the loss of the link), and sends redirects and
 * retries.
 */
export class OutboundAttempts {
  readonly #services: NodeServices;

  readonly #table: OutboundCallTable;

  readonly #sender: AttemptSender;

  readonly #closer: OutboundCallCloser;

  readonly #ticketRequests: TicketRequests;

  /**
   * @param services - Services shared by the parts of this node.
   * @param parts - Table of the outbound calls, and the parts that send them, close them and request tickets for them.
   */
  constructor(services: NodeServices, parts: AttemptParts) {
    this.#services = services;
    this.#table = parts.table;
    this.#sender = parts.sender;
    this.#closer = parts.closer;
    this.#ticketRequests = parts.ticketRequests;
  }

  /**
   * Sends an attempt, or refuses the call when no VM can be chosen.
   * @param call - Call to attempt.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  send(call: OutboundCall, nowMs: number): void {
    const refusal = this.#sender.send(call, nowMs);
    if (refusal !== undefined) {
      this.#refuse(call, refusal);
    }
  }

  /**
   * Refuses a call. A call with a ticket is refused only after its VM has answered whether it ran: the refusal is sent
   * to that VM, which confirms it and makes the ticket void, or answers with the result of an earlier run.
   * @param call - Call to refuse.
   * @param refusal - Why this node refuses it.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  refuseWithProof(call: OutboundCall, refusal: Refusal, nowMs: number): void {
    if (call.idempotencyKey?.kind !== 'ticket') {
      this.#closer.refuse(call, refusal);
      return;
    }
    call.pendingRefusal = refusal;
    this.send(call, nowMs);
  }

  /**
   * Handles an answer. An answer that matches no current attempt at this peer is dropped and counted.
   * @param peer - VM that answered.
   * @param answer - The answer; its body is complete.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  receiveAnswer(peer: string, answer: Answer, nowMs: number): void {
    const found = this.#takeAttempt(peer, answer.callId);
    if (found === undefined) {
      this.#services.outbox.add({ kind: 'releaseBody', bodyOf: answer.callId });
      return;
    }
    const { call, attempt } = found;
    const { router, retryBudget, backpressure } = this.#services;
    const latencyMs = nowMs - attempt.sentMs;
    router.recordOutcome(peer, { kind: 'answered', latencyMs, load: answer.load }, nowMs);
    if (!answer.closeDelimited) {
      retryBudget.recordSuccess(call.route.service, nowMs);
    }
    backpressure.record(answer.levels, nowMs);
    this.#services.callTrees?.recordAnswer(
      call.route.name,
      call.route.service,
      answer.demands,
      nowMs,
    );
    this.#closer.recordCalledServices(call, answer.levels);
    call.allowance.returnUnspent(attempt.granted, answer.unspentAllowance);
    if (isReplacedByFallback(call, answer)) {
      this.#services.outbox.add({ kind: 'releaseBody', bodyOf: answer.callId });
      this.#closer.answerFallback(call);
    } else if (!answer.closeDelimited || !this.#retryTruncated(call, answer, nowMs)) {
      this.#closer.answer(call, answer, nowMs);
    }
  }

  /**
   * Handles a refusal by the VM of an attempt.
   * @param peer - VM that refused.
   * @param refused - The refusal.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  receiveRefused(peer: string, refused: Refused, nowMs: number): void {
    const found = this.#takeAttempt(peer, refused.callId);
    if (found === undefined) {
      return;
    }
    const { call, attempt } = found;
    const refusal = decodeRefusal(refused);
    const kind = toRoutingOutcome(refusal);
    const latencyMs = nowMs - attempt.sentMs;
    this.#services.router.recordOutcome(peer, { kind, latencyMs, load: refused.load }, nowMs);
    this.#services.callTrees?.recordRefusal(
      call.route.service,
      refused.load,
      CAPACITY_REASONS.has(refusal.reason),
      nowMs,
    );
    this.#services.backpressure.record(refused.levels, nowMs);
    this.#closer.recordCalledServices(call, refused.levels);
    call.allowance.returnUnspent(attempt.granted, refused.unspentAllowance);
    if (refusal.reason === 'ticketRequired' && call.idempotencyKey?.kind === 'ticket') {
      this.#replaceTicket(call, nowMs);
      return;
    }
    this.#endAttempt(call, toProvedRefusal(call, refusal), nowMs);
  }

  /**
   * Handles the loss of a link on which attempts were sent, which may therefore have run. If the deadline and the retry
   * limits permit it, non-repeatable calls are sent again to the same incarnation, as it recognizes repeats.
   * @param peer - VM at the other end.
   * @param incarnation - Incarnation at the other end.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordLinkDown(peer: string, incarnation: string, nowMs: number): void {
    this.#listAttemptsAt(peer).forEach((call) => this.#handleLostAttempt(call, incarnation, nowMs));
  }

  /**
   * Handles a link that could not be opened, so that the attempts queued for it were not sent.
   * @param peer - VM that could not be reached.
   * @param nowMs - Monotonic time, in milliseconds.
   * @param callIds - Attempts that were queued for it; all attempts at the VM if absent.
   */
  recordLinkFailed(peer: string, nowMs: number, callIds?: readonly string[]): void {
    const dropped = callIds === undefined ? undefined : new Set(callIds);
    const failed = this.#listAttemptsAt(peer).filter(
      ({ attempt }) => dropped?.has(attempt?.callId ?? '') ?? true,
    );
    failed.forEach((call) => {
      this.#dropAttempt(call, nowMs);
      const retryAfterMs = computeRetryAfter(UNREACHABLE_RETRY_MS, this.#services.random);
      const notRun = createRefusal('vmUnreachable', { retryAfterMs });
      const refusal: Refusal = mayHaveRunBefore(call) ? createRefusal('linkLost') : notRun;
      this.#endAttempt(call, refusal, nowMs);
    });
  }

  /**
   * Records the incarnation that the queued attempts are sent to.
   * @param peer - VM at the other end.
   * @param incarnation - Incarnation at the other end.
   */
  recordLinkUp(peer: string, incarnation: string): void {
    this.#listAttemptsAt(peer).forEach((call) => {
      if (call.attempt !== undefined && call.attempt.incarnation === undefined) {
        call.attempt.incarnation = incarnation;
      }
    });
  }

  /** Requests another ticket for the caller, because an earlier refusal has made its ticket void. */
  #replaceTicket(call: OutboundCall, nowMs: number): void {
    delete call.idempotencyKey;
    delete call.pendingRefusal;
    call.triedVms.clear();
    this.#ticketRequests.send(call, nowMs);
  }

  #handleLostAttempt(call: OutboundCall, incarnation: string, nowMs: number): void {
    const { attempt } = call;
    this.#dropAttempt(call, nowMs);
    call.mayHaveRun = true;
    const canRepeat = call.idempotencyKey !== undefined && nowMs < call.context.deadlineMs;
    if (attempt !== undefined && canRepeat && this.#takeRetry(call, nowMs)) {
      this.#services.counters.count('repeats');
      this.#sender.sendAgain(call, attempt.vm, attempt.incarnation ?? incarnation, nowMs);
      return;
    }
    this.#endAttempt(call, createRefusal('linkLost'), nowMs);
  }

  #endAttempt(call: OutboundCall, refusal: Refusal, nowMs: number): void {
    if (call.pendingRefusal !== undefined) {
      this.#refuse(call, refusal);
      return;
    }
    call.mayHaveRun ||= refusal.outcome !== 'notRun';
    const decision = decideRetry(call, refusal.reason, refusal.outcome, nowMs);
    if (decision === 'refuse' || (decision === 'retry' && !this.#takeRetry(call, nowMs))) {
      this.#refuse(call, refusal);
      return;
    }
    call.redirects += decision === 'redirect' ? 1 : 0;
    this.#services.counters.count(decision === 'redirect' ? 'redirects' : 'retries');
    const failure = this.#sender.send(call, nowMs);
    if (failure !== undefined) {
      this.#refuse(call, refusal);
    }
  }

  /**
   * Retries a repeatable call because its successful answer may be truncated (only the close of the connection marked
   * its end), and keeps that answer as the fallback. Returns false when no retry was sent.
   */
  #retryTruncated(call: OutboundCall, answer: Answer, nowMs: number): boolean {
    const isWorthRetry = answer.status < FIRST_FAILURE && call.fallback === undefined;
    if (!isWorthRetry || !call.route.repeatable || !hasAttemptsLeft(call, nowMs)) {
      return false;
    }
    if (this.#sender.chooseVm(call, nowMs) === undefined || !this.#takeRetry(call, nowMs)) {
      return false;
    }
    if (this.#sender.send(call, nowMs) !== undefined) {
      return false;
    }
    call.fallback = { answer, bodyOf: this.#keepFallbackBody(call, answer), receivedMs: nowMs };
    call.mayHaveRun = true;
    this.#services.counters.count('retriesForProof');
    return true;
  }

  #keepFallbackBody(call: OutboundCall, { callId, bodySize }: Answer): string {
    if (bodySize === 0) {
      return '';
    }
    const { outbox } = this.#services;
    const bodyOf = `fallback ${call.requestId}`;
    outbox.add({ kind: 'keepBody', from: callId, to: bodyOf });
    outbox.add({ kind: 'releaseBody', bodyOf: callId });
    return bodyOf;
  }

  #takeRetry(call: OutboundCall, nowMs: number): boolean {
    return (
      call.allowance.remaining > 0 &&
      this.#services.retryBudget.tryTake(call.route.service, nowMs) &&
      call.allowance.tryTake()
    );
  }

  #refuse(call: OutboundCall, refusal: Refusal): void {
    const { pendingRefusal } = call;
    if (pendingRefusal === undefined) {
      this.#closer.refuse(call, refusal);
      return;
    }
    const isProved = refusal.reason === pendingRefusal.reason && refusal.outcome === 'notRun';
    this.#closer.refuse(
      call,
      isProved ? pendingRefusal : { ...pendingRefusal, outcome: 'unknown' },
    );
  }

  #takeAttempt(peer: string, callId: string): { call: OutboundCall; attempt: Attempt } | undefined {
    const call = this.#table.findByAttempt(callId);
    const attempt = call?.attempt;
    if (call === undefined || attempt === undefined || attempt.vm !== peer) {
      this.#services.counters.count('answersDropped');
      return undefined;
    }
    this.#table.removeAttempt(callId);
    return { call, attempt };
  }

  #dropAttempt(call: OutboundCall, nowMs: number): void {
    const { attempt } = call;
    if (attempt === undefined) {
      return;
    }
    this.#table.removeAttempt(attempt.callId);
    const latencyMs = nowMs - attempt.sentMs;
    this.#services.router.recordOutcome(attempt.vm, { kind: 'failed', latencyMs }, nowMs);
  }

  #listAttemptsAt(peer: string): readonly OutboundCall[] {
    return this.#table
      .list()
      .filter((call) => call.state === 'attempting' && call.attempt?.vm === peer);
  }
}

/**
 * Replaces `incarnationGone` by `vmUnknown`, whose outcome is `notRun`, for a non-repeatable call without a ticket of
 * which no attempt may have run: the new incarnation cannot have run it, and no earlier one has received it.
 */
function toProvedRefusal(call: OutboundCall, refusal: Refusal): Refusal {
  const isFirst = call.idempotencyKey?.kind === 'own' && !call.mayHaveRun;
  return isFirst && refusal.reason === 'incarnationGone'
    ? createRefusal('vmUnknown', { detail: 'incarnation' })
    : refusal;
}

/** A success that may be truncated is worth more to the requester than a failure of the retry. */
function isReplacedByFallback({ fallback }: OutboundCall, answer: Answer): boolean {
  return (
    fallback !== undefined &&
    fallback.answer.status < FIRST_FAILURE &&
    answer.status >= FIRST_FAILURE
  );
}

function mayHaveRunBefore(call: OutboundCall): boolean {
  return call.idempotencyKey?.kind === 'ticket' || call.mayHaveRun;
}
