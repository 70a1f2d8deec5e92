import { toBinary } from '@bufbuild/protobuf';
import { buildBundle, digestKey } from '@tanagerpond/bundle';
import { FrameSchema } from '@tanagerpond/wire';
import {
  NodeStateMachine,
  type NodeCommand,
  type NodeMessage,
} from '../../src/process/node/index.js';
import { createRandom } from '../createRandom.js';
import { buildBenchTexts } from './buildBenchTexts.js';

const CALLS = 20_000;
const KEY = `tpk_${'k'.repeat(43)}`;
const VMS = [
  {
    name: 'a-1',
    service: 'service-1',
    failureDomain: 'd',
    peerAddress: '127.0.0.1:1',
    state: 'live',
  },
  {
    name: 'b-1',
    service: 'service-0',
    failureDomain: 'd',
    peerAddress: '127.0.0.1:2',
    state: 'live',
  },
] as const;

/**
 * Measures the processor time of the decisions and the link bytes for one call, at the entry node and the exit node.
 */
export function measureCalls(): readonly object[] {
  const texts = buildBenchTexts(8, 4, 2);
  const workspaces = `[workspace loud]\nrate = 1000000\nburst = 1000000\nweight = 1\nkey-digests = ${digestKey(KEY)}\n`;
  const bundle = buildBundle(1, 'digest', { ...texts, 'workspaces.ini': workspaces }).unwrapOrElse(
    (error) => {
      throw new Error(JSON.stringify(error));
    },
  );
  const [entry, exit] = VMS.map(({ name, service, failureDomain }, index) => {
    const machine = new NodeStateMachine({
      self: { name, service, failureDomain, incarnation: `i${index}` },
      random: createRandom(index + 1),
      trustedKeys: [],
      startedMs: -10_000,
      drainLimitMs: 1_000,
    });
    machine.handle({ kind: 'vmsListed', vms: VMS }, 0);
    machine.handle({ kind: 'bundleAdopted', bundle }, 0);
    return machine;
  }) as [NodeStateMachine, NodeStateMachine];
  const totals = { entryMs: 0, exitMs: 0, openBytes: 0, answerBytes: 0, whole: 0 };
  connect(entry, exit, totals);
  for (let count = 0; count < CALLS; count++) {
    runCall(entry, exit, count, totals);
  }
  return [
    {
      calls: CALLS,
      whole: totals.whole,
      entryMicroseconds: round((totals.entryMs * 1_000) / CALLS),
      exitMicroseconds: round((totals.exitMs * 1_000) / CALLS),
      openFrameBytes: round(totals.openBytes / CALLS),
      answerFrameBytes: round(totals.answerBytes / CALLS),
    },
  ];
}

interface Totals {
  entryMs: number;
  exitMs: number;
  openBytes: number;
  answerBytes: number;
  whole: number;
}

function connect(entry: NodeStateMachine, exit: NodeStateMachine, totals: Totals): void {
  for (let nowMs = 50; nowMs <= 10_000; nowMs += 50) {
    handleCommands(entry, exit, entry.handle({ kind: 'tick' }, nowMs), nowMs, totals);
    handleCommands(exit, entry, exit.handle({ kind: 'tick' }, nowMs), nowMs, totals);
  }
}

function runCall(
  entry: NodeStateMachine,
  exit: NodeStateMachine,
  count: number,
  totals: Totals,
): void {
  const nowMs = 10_000 + count / 10;
  const request = {
    requestId: `r${count}`,
    method: 'GET',
    target: `/service-0/things-0/${count}`,
    headers: [
      ['authorization', `Bearer ${KEY}`],
      ['accept', 'application/json'],
      ['user-agent', 'bench'],
    ] as const,
    bodySize: 0,
    bodyDigest: '',
    bodyHasKey: false,
    arrivedMs: nowMs,
  };
  const begin = performance.now();
  const commands = entry.handle({ kind: 'callerRequest', request }, nowMs);
  Object.assign(totals, { entryMs: totals.entryMs + performance.now() - begin });
  handleCommands(entry, exit, commands, nowMs, totals);
}

/** Delivers frames between the nodes and answers in place of the backend server until no command is left. */
function handleCommands(
  from: NodeStateMachine,
  to: NodeStateMachine,
  commands: readonly NodeCommand[],
  nowMs: number,
  totals: Totals,
): void {
  commands.forEach((command) => {
    if (command.kind === 'sendRequest' || command.kind === 'sendReply') {
      const bytes = toBinary(FrameSchema, command.frame).length;
      const isOpen = command.frame.body.case === 'openCall';
      const isAnswer = command.frame.body.case === 'answer';
      Object.assign(totals, {
        openBytes: totals.openBytes + (isOpen ? bytes : 0),
        answerBytes: totals.answerBytes + (isAnswer ? bytes : 0),
      });
      const peer = command.peer === 'a-1' ? 'b-1' : 'a-1';
      const inbound = command.kind === 'sendRequest';
      const incarnation = peer === 'a-1' ? 'i0' : 'i1';
      const message = {
        kind: 'peerFrame',
        peer,
        incarnation,
        inbound,
        frame: command.frame,
      } as const;
      handleCommands(
        to,
        from,
        handleTimed(to, message, nowMs, isOpen ? 'exitMs' : 'entryMs', totals),
        nowMs,
        totals,
      );
    }
    if (command.kind === 'callBackend') {
      const result = {
        kind: 'answered',
        status: 200,
        headers: [],
        bodySize: 0,
        framing: 'length',
        shed: false,
      } as const;
      const message = { kind: 'backendResult', callId: command.callId, result } as const;
      handleCommands(from, to, handleTimed(from, message, nowMs, 'exitMs', totals), nowMs, totals);
    }
    if (command.kind === 'answerRequester') {
      Object.assign(totals, { whole: totals.whole + 1 });
    }
  });
}

function handleTimed(
  machine: NodeStateMachine,
  message: NodeMessage,
  nowMs: number,
  field: 'entryMs' | 'exitMs',
  totals: Totals,
): readonly NodeCommand[] {
  const begin = performance.now();
  const commands = machine.handle(message, nowMs);
  Object.assign(totals, { [field]: totals[field] + performance.now() - begin });
  return commands;
}

function round(value: number): number {
  return Math.round(value * 10) / 10;
}
