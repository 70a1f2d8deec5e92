import { createFrame, type Frame } from '@tanagerpond/wire';
import type { NodeCommand } from './NodeCommand.js';

/** Body of a frame; the message is a complete one of the generated types. */
export type FrameBody = Exclude<Frame['body'], { case: undefined }>;

/** A frame that a node sends to itself, handled like one of a peer, without a link. */
export interface LocalFrame {
  readonly inbound: boolean;
  readonly frame: Frame;
}

/** A frame to send, as decision modules compose it. */
export interface FrameCommand {
  readonly kind: 'sendRequest' | 'sendReply';
  readonly peer: string;
  readonly frame: Frame;
}

/** Collects what the handling of one message asks of the host. */
export class Outbox {
  readonly #self: string;

  #commands: NodeCommand[] = [];

  #releases: NodeCommand[] = [];

  #localFrames: LocalFrame[] = [];

  /** @param self - Name of the own VM; frames to it stay inside the process. */
  constructor(self: string) {
    this.#self = self;
  }

  /**
   * Adds a command for the host. Bodies are released after all other commands, which may still name them.
   * @param command - Carried out in the order of adding.
   */
  add(command: NodeCommand): void {
    const list = command.kind === 'releaseBody' ? this.#releases : this.#commands;
    list.push(command);
  }

  /**
   * Sends a request frame to a peer.
   * @param peer - Name of the VM.
   * @param body - Body of the frame.
   * @param bodyOf - Kept body that follows the frame.
   */
  sendRequest(peer: string, body: FrameBody, bodyOf?: string): void {
    this.#send('sendRequest', peer, body, bodyOf);
  }

  /**
   * Sends a reply frame to a peer, on the stream that it opened.
   * @param peer - Name of the VM.
   * @param body - Body of the frame.
   * @param bodyOf - Kept body that follows the frame.
   */
  sendReply(peer: string, body: FrameBody, bodyOf?: string): void {
    this.#send('sendReply', peer, body, bodyOf);
  }

  /**
   * Sends a frame that a decision module has composed.
   * @param command - Frame and peer.
   */
  sendFrame(command: FrameCommand): void {
    if (command.frame.body.case !== undefined) {
      this.#send(command.kind, command.peer, command.frame.body, undefined);
    }
  }

  /** Takes the frames that this node sent to itself. */
  takeLocalFrames(): readonly LocalFrame[] {
    const frames = this.#localFrames;
    this.#localFrames = [];
    return frames;
  }

  /** Takes the commands for the host. */
  takeCommands(): readonly NodeCommand[] {
    const commands = this.#commands.concat(this.#releases);
    this.#commands = [];
    this.#releases = [];
    return commands;
  }

  #send(
    kind: 'sendRequest' | 'sendReply',
    peer: string,
    body: FrameBody,
    bodyOf: string | undefined,
  ): void {
    const frame = createFrame(body);
    if (peer !== this.#self) {
      this.#commands.push({ kind, peer, frame, ...(bodyOf === undefined ? {} : { bodyOf }) });
      return;
    }
    this.#localFrames.push({ inbound: kind === 'sendRequest', frame });
    this.#keepLocalBody(body, bodyOf);
  }

  /** A frame of a peer has its body kept under its call id, so a frame to the own node must have the same. */
  #keepLocalBody(body: FrameBody, bodyOf: string | undefined): void {
    const hasCallId = body.case === 'openCall' || body.case === 'answer';
    if (bodyOf === undefined || !hasCallId || bodyOf === body.value.callId) {
      return;
    }
    this.#commands.push({ kind: 'keepBody', from: bodyOf, to: body.value.callId });
  }
}
