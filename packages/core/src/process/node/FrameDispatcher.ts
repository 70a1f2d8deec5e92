import type { Frame } from '@tanagerpond/wire';
import type * as calls from '../../request/calls/index.js';
import { createRefusal, type Refusal } from '../../request/index.js';
import type * as configuration from '../../version/configuration/index.js';
import type * as documents from '../documents/index.js';
import type * as shares from '../shares/index.js';
import type { NodeServices } from './NodeServices.js';
import type { FrameBody } from './Outbox.js';

/** A frame and the peer and stream that it came from. */
export interface ReceivedFrame {
  readonly peer: string;
  readonly incarnation: string;
  /** True if the frame came on the stream that the peer opened. */
  readonly inbound: boolean;
  readonly frame: Frame;
}

/** Parts of the node that handle frames. */
export interface FrameDispatcherOptions {
  readonly services: NodeServices;
  readonly outboundSide: calls.OutboundSide;
  readonly inboundSide: calls.InboundSide;
  readonly documents: documents.DocumentRelay;
  readonly applyShares: (commands: readonly shares.ShareCommand[], nowMs: number) => void;
  readonly receiveConfiguration: (
    peer: string,
    frame: configuration.ConfigurationFrame,
    nowMs: number,
  ) => void;
}

type FrameCase = FrameBody['case'];

type ValueOf<Case extends FrameCase> = Extract<FrameBody, { case: Case }>['value'];

/** Stream on which a frame is accepted: opened by the peer (inbound), by this node (outbound), or either. */
type Direction = 'inbound' | 'outbound' | 'both';

interface FrameRule<Case extends FrameCase> {
  readonly direction: Direction;
  readonly handle: (value: ValueOf<Case>, from: ReceivedFrame, nowMs: number) => void;
}

type FrameRules = { readonly [Case in FrameCase]?: FrameRule<Case> };

/**
 * Dispatches each frame to the part that handles it. Unknown frames and frames on the wrong stream are dropped and
 * counted.
 */
export class FrameDispatcher {
  readonly #parts: FrameDispatcherOptions;

  readonly #rules: FrameRules;

  /** @param parts - Parts of the node that handle frames. */
  constructor(parts: FrameDispatcherOptions) {
    this.#parts = parts;
    this.#rules = { ...this.#createCallRules(), ...this.#createControlRules() };
  }

  /**
   * Dispatches one frame.
   * @param received - The frame and its origin.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  dispatch(received: ReceivedFrame, nowMs: number): void {
    const { body } = received.frame;
    const rule = body.case === undefined ? undefined : this.#rules[body.case];
    if (rule === undefined || !isAllowed(rule.direction, received.inbound)) {
      this.#parts.services.counters.count(`framesDropped.${body.case}`);
      return;
    }
    (rule as FrameRule<FrameCase>).handle(body.value as ValueOf<FrameCase>, received, nowMs);
  }

  #createCallRules(): FrameRules {
    const { outboundSide, inboundSide } = this.#parts;
    return {
      openCall: {
        direction: 'inbound',
        handle: (value, { peer }, nowMs) => {
          const bodyOf = value.bodySize > 0 ? value.callId : '';
          inboundSide.calls.open(peer, value, bodyOf, nowMs);
        },
      },
      cancelCall: {
        direction: 'inbound',
        handle: (value, { peer }, nowMs) => inboundSide.calls.cancel(peer, value, nowMs),
      },
      answer: {
        direction: 'outbound',
        handle: (value, { peer }, nowMs) => outboundSide.attempts.receiveAnswer(peer, value, nowMs),
      },
      refused: {
        direction: 'outbound',
        handle: (value, { peer }, nowMs) => outboundSide.calls.receiveRefused(peer, value, nowMs),
      },
      ticketRequest: {
        direction: 'inbound',
        handle: (value, { peer }, nowMs) => {
          const refusal = this.#findTicketRefusal(value.route);
          outboundSide.ticketRequests.answer(peer, value, refusal, nowMs);
        },
      },
      ticketGrant: {
        direction: 'outbound',
        handle: (value, { peer }) => outboundSide.ticketRequests.receiveGrant(peer, value),
      },
    };
  }

  #createControlRules(): FrameRules {
    const { services, documents: relay } = this.#parts;
    return {
      documentRequest: {
        direction: 'inbound',
        handle: (value, { peer }, nowMs) => relay.answer(peer, value, nowMs),
      },
      document: {
        direction: 'outbound',
        handle: (value, _message, nowMs) => relay.receive(value, nowMs),
      },
      shareRequest: {
        direction: 'inbound',
        handle: (_value, from, nowMs) => this.#receiveShareFrame(from, nowMs),
      },
      shareGrant: {
        direction: 'outbound',
        handle: (_value, from, nowMs) => this.#receiveShareFrame(from, nowMs),
      },
      shareReturn: {
        direction: 'inbound',
        handle: (_value, from, nowMs) => this.#receiveShareFrame(from, nowMs),
      },
      manifestAnnouncement: {
        direction: 'both',
        handle: (_value, from, nowMs) => this.#receiveConfigurationFrame(from, nowMs),
      },
      manifestRequest: {
        direction: 'inbound',
        handle: (_value, from, nowMs) => this.#receiveConfigurationFrame(from, nowMs),
      },
      sectionRequest: {
        direction: 'both',
        handle: (_value, from, nowMs) => this.#receiveConfigurationFrame(from, nowMs),
      },
      sectionReply: {
        direction: 'both',
        handle: (_value, from, nowMs) => this.#receiveConfigurationFrame(from, nowMs),
      },
      // The message `linkUp` has already passed on the contents of this frame.
      hello: { direction: 'both', handle: () => undefined },
      crashReport: {
        direction: 'inbound',
        handle: (value, { peer }, nowMs) => {
          if (value.service === services.self.service) {
            services.suspects.recordCrash(value.fingerprints, nowMs, peer);
          }
        },
      },
      leaving: {
        direction: 'both',
        handle: (value, { peer, incarnation }) => {
          if (value.returned) {
            services.membership.clearLeaving(peer);
            return;
          }
          services.membership.markLeaving(peer, incarnation);
          if (value.backend) {
            services.membership.markBackendLeaving(peer);
          }
        },
      },
    };
  }

  #findTicketRefusal(routeName: string): Refusal | undefined {
    const { services } = this.#parts;
    if (services.isLeaving()) {
      return createRefusal('leaving');
    }
    const route = services.findBundle()?.routes.get(routeName);
    return route?.service === services.self.service ? undefined : createRefusal('vmUnknown');
  }

  #receiveShareFrame({ peer, frame }: ReceivedFrame, nowMs: number): void {
    const { services, applyShares } = this.#parts;
    applyShares(services.rateLimiter.receive(peer, frame.body as shares.ShareFrame, nowMs), nowMs);
  }

  #receiveConfigurationFrame({ peer, frame }: ReceivedFrame, nowMs: number): void {
    this.#parts.receiveConfiguration(peer, frame as configuration.ConfigurationFrame, nowMs);
  }
}

function isAllowed(direction: Direction, inbound: boolean): boolean {
  return direction === 'both' || (direction === 'inbound') === inbound;
}
