import { createFrame, type Frame } from '@tanagerpond/wire';
import type { NodeCommand } from './NodeCommand.js';

/** Body of a frame: the case and a complete message of the generated type. */
export type FrameBody = Exclude<Frame['body'], { case: undefined }>;

/** Frame that a node sends to itself. It is handled like a frame from a peer, but needs no stream. */
export interface LocalFrame {
  readonly inbound: boolean;
  readonly frame: Frame;
}

/** Complete frame that a decision module asks to send. */
export interface FrameCommand {
  readonly kind: 'sendRequest' | 'sendReply';
  readonly peer: string;
  readonly frame: Frame;
}

/** Collects the commands for the host while one message is handled. */
export class Outbox {
  readonly #self: string;

  #commands: NodeCommand[] = [];

  #releases: NodeCommand[] = [];

  #localFrames: LocalFrame[] = [];

  /** @param self - Name of this node's VM; frames to it stay inside the process. */
  constructor(self: string) {
    this.#self = self;
  }

  /**
   * Adds a command for the host. Commands run in the order in which they were added, except that bodies are released
   * after all other commands, which may still need them.
   * @param command - Command for the host.
   */
  add(command: NodeCommand): void {
    const list = command.kind === 'releaseBody' ? this.#releases : this.#commands;
    list.push(command);
  }

  /**
   * Sends a request frame to a peer on the stream that this node opened.
   * @param peer - Name of the VM.
   * @param body - Body of the frame.
   * @param bodyOf - Name of the stored body that is sent with the frame.
   */
  sendRequest(peer: string, body: FrameBody, bodyOf?: string): void {
    this.#send('sendRequest', peer, body, bodyOf);
  }

  /**
   * Sends a reply frame to a peer on the stream that the peer opened.
   * @param peer - Name of the VM.
   * @param body - Body of the frame.
   * @param bodyOf - Name of the stored body that is sent with the frame.
   */
  sendReply(peer: string, body: FrameBody, bodyOf?: string): void {
    this.#send('sendReply', peer, body, bodyOf);
  }

  /**
   * Sends a frame that a decision module has created. A frame without a body is dropped.
   * @param command - Frame, peer and stream.
   */
  sendFrame(command: FrameCommand): void {
    if (command.frame.body.case !== undefined) {
      this.#send(command.kind, command.peer, command.frame.body, undefined);
    }
  }

  /** Removes and returns the frames that this node sent to itself. */
  takeLocalFrames(): readonly LocalFrame[] {
    const frames = this.#localFrames;
    this.#localFrames = [];
    return frames;
  }

  /** Removes and returns the commands for the host. */
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
    this.#storeLocalBody(body, bodyOf);
  }

  /**
   * Handlers expect the body of a frame under its call id, so the body of a frame to this node is stored under that
   * name too.
   */
  #storeLocalBody(body: FrameBody, bodyOf: string | undefined): void {
    const hasCallId = body.case === 'openCall' || body.case === 'answer';
    if (bodyOf === undefined || !hasCallId || bodyOf === body.value.callId) {
      return;
    }
    this.#commands.push({ kind: 'keepBody', from: bodyOf, to: body.value.callId });
  }
}
