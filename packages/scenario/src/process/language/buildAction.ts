import type * as ohm from 'ohm-js';
import { grammar } from './grammar.js';
import type { Action, Comparison, Ending, LoadOption, Measure, VmSelector } from './Statement.js';

const MS_PER_UNIT: Readonly<Record<string, number>> = { ms: 1, s: 1_000 };
const ENDINGS: Readonly<Record<string, Ending>> = { 'refused not run': 'refusedNotRun' };
const DEFAULT_FAILURE_DOMAINS = 2;

type Node = ohm.Node;

const semantics = grammar.createSemantics();

/** Builds the value of a parse node; a statement becomes an `Action`. The keys are the rule names of the grammar. */
semantics.addOperation<unknown>('build', {
  Deployment: (_d, name, _w, count, _v, _p, _s, domains) => ({
    kind: 'deployment',
    name: buildNode(name),
    vmsPerService: buildNode(count),
    failureDomains: buildOptional(domains) ?? DEFAULT_FAILURE_DOMAINS,
  }),
  DomainCount: (_i, count, _f, _d) => buildNode(count),
  Set: (_s, section, key, _e, value) => buildSetting('set', section, key, value),
  RollOut: (_r, _o, section, key, _e, value) => buildSetting('rollOut', section, key, value),
  Work: (_w, _o, route, _t, duration) => ({
    kind: 'work',
    route: buildNode(route),
    durationMs: buildNode(duration),
  }),
  Cold: (_b, _s, _t, _c, _f, duration) => ({ kind: 'cold', durationMs: buildNode(duration) }),
  StartFleet: (_s, _f) => ({ kind: 'startFleet' }),
  Load: (_l, name, _o, workspace, _n, routes, _a, rate, _p, _s, _f, duration, options) => ({
    kind: 'load',
    name: buildNode(name),
    workspace: buildNode(workspace),
    routes: buildList(routes),
    ratePerSecond: buildNode(rate),
    durationMs: buildNode(duration),
    options: buildNode(options),
  }),
  WarmUp: (_w, _u, _o, workspace, _n, routes, _a, rate, _p, _s, _f, duration) => ({
    kind: 'warmUp',
    name: 'warm-up',
    workspace: buildNode(workspace),
    routes: buildList(routes),
    ratePerSecond: buildNode(rate),
    durationMs: buildNode(duration),
    options: [],
  }),
  LoadOptions: (options) => options.children.map((option) => buildNode<LoadOption>(option)),
  LoadOption_retrying: (_r, times, _t) => ({ kind: 'retrying', times: buildNode(times) }),
  LoadOption_through: (_t, vms) => ({ kind: 'through', vms: buildList(vms) }),
  LoadOption_noKey: (_w, _n, _k) => ({ kind: 'noKey' }),
  LoadOption_unknownKey: (_w, _a, _u, _k) => ({ kind: 'unknownKey' }),
  LoadOption_exposing: (_e, _t, _k, _i, place) => ({ kind: 'exposing', place: place.sourceString }),
  LoadOption_bodies: (_w, _b, _o, bytes, _u) => ({ kind: 'bodies', bytes: buildNode(bytes) }),
  LoadOption_timeout: (_g, _u, _a, duration) => ({
    kind: 'timeout',
    durationMs: buildNode(duration),
  }),
  StopLoad: (_e, _l, load) => ({ kind: 'stopLoad', load: buildNode(load) }),
  Wait_load: (_w, _f, _l, load) => ({ kind: 'waitLoad', load: buildNode(load) }),
  Wait_loads: (_w, _f, _a, _l) => ({ kind: 'waitLoads' }),
  Wait_time: (_w, duration) => ({ kind: 'wait', durationMs: buildNode(duration) }),
  Change: (verb, part, vm) => ({
    kind: 'change',
    verb: verb.sourceString,
    part: part.sourceString,
    vm: buildNode(vm),
  }),
  Cut: (_c, left, _f, right, manner) => ({
    kind: 'cut',
    left: buildNode<VmSelector>(left),
    right: buildNode<VmSelector>(right),
    manner: manner.sourceString,
  }),
  Party_vm: (_v, name) => ({ kind: 'vm', name: buildNode(name) }),
  Party_domain: (_f, _d, name) => ({ kind: 'domain', name: buildNode(name) }),
  Party_everything: (_e) => ({ kind: 'everything' }),
  Heal: (_h, _a, _l) => ({ kind: 'heal' }),
  Platform: (part, state) => ({
    kind: 'platform',
    part: part.sourceString,
    state: state.sourceString,
  }),
  Lag: (_l, _a, duration) => ({ kind: 'lag', durationMs: buildNode(duration) }),
  Listed: (_l, _s, vm, _a, state) => ({
    kind: 'listed',
    vm: buildNode(vm),
    state: state.sourceString,
  }),
  Withdraw: (_w, _k, _o, workspace) => ({ kind: 'withdraw', workspace: buildNode(workspace) }),
  Crash: (_c, _r, _t, route, _o, workspace, times, _n) => ({
    kind: 'crash',
    route: buildNode(route),
    workspace: buildNode(workspace),
    times: buildNode(times),
  }),
  Slow: (_s, _d, service, _b, factor) => ({
    kind: 'slow',
    service: buildNode(service),
    factor: buildNode(factor),
  }),
  Health: (_h, _o, vm, _s, state) => ({
    kind: 'health',
    vm: buildNode(vm),
    state: state.sourceString,
  }),
  Expect: (_e, measure, comparison, value, within) => ({
    kind: 'expect',
    measure: buildNode<Measure>(measure),
    comparison: comparison.sourceString as Comparison,
    value: buildNode(value),
    withinMs: buildOptional(within) ?? 0,
  }),
  Within: (_w, duration) => buildNode(duration),
  Measure_fraction: (ending, _f, _o, load) => buildEnding('fraction', ending, load),
  Measure_count: (ending, _o, load) => buildEnding('count', ending, load),
  Measure_rate: (ending, _p, _s, _o, load) => buildEnding('rate', ending, load),
  Measure_recent: (ending, _o, load, _i, _t, _l, duration) => ({
    ...buildEnding('recent', ending, load),
    durationMs: buildNode(duration),
  }),
  Measure_doubleRuns: (_d, _r) => ({ kind: 'doubleRuns' }),
  Measure_notRunButRan: (_r, _b, _n, _u) => ({ kind: 'notRunButRan' }),
  Measure_keysSeen: (_k, _s) => ({ kind: 'keysSeen' }),
  Measure_wrong: (_w, _a) => ({ kind: 'wrong' }),
  Measure_refusals: (_r, reason, _o, load) => ({
    kind: 'refusals',
    reason: buildNode(reason),
    load: buildNode(load),
  }),
  Measure_refusedInside: (_r, _i, _t, _a, _o, load) => ({
    kind: 'refusedInside',
    load: buildNode(load),
  }),
  Measure_attempts: (_a, _p, _r, _o, load) => ({ kind: 'attempts', load: buildNode(load) }),
  Measure_runsPerRequest: (_r, _o, route, _p, _q, _f, load) => ({
    kind: 'runsPerRequest',
    route: buildNode(route),
    load: buildNode(load),
  }),
  Measure_runs: (_r, _o, route) => ({ kind: 'runs', route: buildNode(route) }),
  Measure_workAfterLeaving: (_w, _a, vm, duration, _f, _l) => ({
    kind: 'workAfterLeaving',
    vm: buildNode(vm),
    durationMs: buildNode(duration),
  }),
  Measure_inversions: (_i, _r, _s, _b, _l, _o) => ({ kind: 'inversions' }),
  Measure_version: (_v, _a, vm) => ({ kind: 'version', vm: buildNode(vm) }),
  Measure_lowestVersion: (_l, _v) => ({ kind: 'lowestVersion' }),
  Measure_takeEffect: (_t, _o, _k, _e) => ({ kind: 'takeEffect' }),
  Measure_withdrawal: (_t, _u, _w, _o, workspace, _h) => ({
    kind: 'withdrawal',
    workspace: buildNode(workspace),
  }),
  Measure_reads: (_p, _r, _e, _s) => ({ kind: 'reads' }),
  Measure_crashed: (_c, _b, _s) => ({ kind: 'crashed' }),
  Measure_endedNodes: (_e, _n) => ({ kind: 'endedNodes' }),
  Measure_latency: (_l, percentile, _o, load) => ({
    kind: 'latency',
    percentile: percentile.sourceString,
    load: buildNode(load),
  }),
  header: (_o, text, _c) => text.sourceString.trim(),
  text: (text) => text.sourceString.trim(),
  name: (first, rest) => first.sourceString + rest.sourceString,
  integer: (digits) => Number(digits.sourceString),
  number(_w, _d, _f) {
    return Number(this.sourceString);
  },
  percent: (value, _p) => buildNode<number>(value) / 100,
  duration: (value, _s, unit) => buildNode<number>(value) * (MS_PER_UNIT[unit.sourceString] ?? 1),
});

/**
 * Builds the action of a matched statement.
 * @param match - Successful match of the grammar's `Statement` rule.
 */
export function buildAction(match: ohm.MatchResult): Action {
  return semantics(match).build() as Action;
}

function buildNode<T = unknown>(node: Node): T {
  return node.build() as T;
}

function buildOptional(option: Node): unknown {
  const [first] = option.children;
  return first === undefined ? undefined : buildNode(first);
}

function buildList(list: Node): readonly unknown[] {
  return list.asIteration().children.map((child) => buildNode(child));
}

function buildSetting(kind: 'set' | 'rollOut', section: Node, key: Node, value: Node): object {
  return { kind, section: buildNode(section), key: buildNode(key), value: buildNode(value) };
}

function buildEnding(kind: string, ending: Node, load: Node): object {
  const text = ending.sourceString;
  return { kind, ending: ENDINGS[text] ?? text, load: buildNode(load) };
}
