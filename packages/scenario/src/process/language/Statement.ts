import type { caller } from '@tanagerpond/testkit';

/** How requests of a load ended; `sent` stands for all requests, including open ones. */
export type Ending = caller.RequestEnd | 'sent';

export type Comparison = '<=' | '>=' | '<' | '>' | '=';

/** What an `expect` statement measures. Times are in milliseconds. */
export type Measure =
  | { readonly kind: 'fraction' | 'count' | 'rate'; readonly ending: Ending; readonly load: string }
  | {
      readonly kind: 'recent';
      readonly ending: Ending;
      readonly load: string;
      readonly durationMs: number;
    }
  | {
      readonly kind:
        | 'doubleRuns'
        | 'notRunButRan'
        | 'keysSeen'
        | 'wrong'
        | 'inversions'
        | 'lowestVersion'
        | 'takeEffect'
        | 'reads'
        | 'crashed'
        | 'endedNodes';
    }
  | { readonly kind: 'refusals'; readonly reason: string; readonly load: string }
  | { readonly kind: 'refusedInside' | 'attempts'; readonly load: string }
  | { readonly kind: 'runsPerRequest'; readonly route: string; readonly load: string }
  | { readonly kind: 'runs'; readonly route: string }
  | { readonly kind: 'version'; readonly vm: string }
  | { readonly kind: 'workAfterLeaving'; readonly vm: string; readonly durationMs: number }
  | { readonly kind: 'withdrawal'; readonly workspace: string }
  | { readonly kind: 'latency'; readonly percentile: 'p50' | 'p99'; readonly load: string };

/** Where a load puts a second copy of its key, in addition to the `authorization` header. */
export type KeyPlace = 'header' | 'query' | 'encoded query' | 'body';

export type LoadOption =
  | { readonly kind: 'retrying'; readonly times: number }
  | { readonly kind: 'through'; readonly vms: readonly string[] }
  | { readonly kind: 'noKey' | 'unknownKey' }
  | { readonly kind: 'exposing'; readonly place: KeyPlace }
  | { readonly kind: 'bodies'; readonly bytes: number }
  | { readonly kind: 'timeout'; readonly durationMs: number };

/** Selects one VM, all VMs of a failure domain, or all VMs. */
export type VmSelector =
  { readonly kind: 'vm' | 'domain'; readonly name: string } | { readonly kind: 'everything' };

export type ChangeVerb = 'start' | 'stop' | 'kill' | 'freeze' | 'resume';
export type ChangePart = 'node of' | 'backend server of' | 'VM';
export type PlatformPart = 'platform' | 'configuration service' | 'VM list';
export type PlatformState = 'stops' | 'goes silent' | 'goes stale' | 'resumes';

/** Parsed content of one statement. Times are in milliseconds. */
export type Action =
  | {
      readonly kind: 'deployment';
      readonly name: string;
      readonly vmsPerService: number;
      readonly failureDomains: number;
    }
  | {
      readonly kind: 'set' | 'rollOut';
      readonly section: string;
      readonly key: string;
      readonly value: string;
    }
  | { readonly kind: 'work'; readonly route: string; readonly durationMs: number }
  | { readonly kind: 'cold' | 'wait' | 'lag'; readonly durationMs: number }
  | { readonly kind: 'startFleet' | 'waitLoads' | 'heal' }
  /**
   * `warmUp` is a load that runs to its end so that caches, limits and compiled code are warm; its runs do not count.
   */
  | {
      readonly kind: 'load' | 'warmUp';
      readonly name: string;
      readonly workspace: string;
      readonly routes: readonly string[];
      readonly ratePerSecond: number;
      readonly durationMs: number;
      readonly options: readonly LoadOption[];
    }
  | { readonly kind: 'waitLoad' | 'stopLoad'; readonly load: string }
  | {
      readonly kind: 'change';
      readonly verb: ChangeVerb;
      readonly part: ChangePart;
      readonly vm: string;
    }
  | {
      readonly kind: 'cut';
      readonly left: VmSelector;
      readonly right: VmSelector;
      readonly manner: 'silently' | 'refusing';
    }
  | {
      readonly kind: 'platform';
      readonly part: PlatformPart;
      readonly state: PlatformState;
    }
  | {
      readonly kind: 'listed';
      readonly vm: string;
      readonly state: 'live' | 'leaving' | 'absent';
    }
  | { readonly kind: 'withdraw'; readonly workspace: string }
  | {
      readonly kind: 'crash';
      readonly route: string;
      readonly workspace: string;
      readonly times: number;
    }
  | { readonly kind: 'slow'; readonly service: string; readonly factor: number }
  | { readonly kind: 'health'; readonly vm: string; readonly state: 'healthy' | 'draining' }
  | {
      readonly kind: 'expect';
      readonly measure: Measure;
      readonly comparison: Comparison;
      readonly value: number;
      /** Time within which the expectation must hold; until then, the value is measured repeatedly. */
      readonly withinMs: number;
    };

/** A statement with the number of its line, counted from 1, and its text without comment. */
export type Statement = Action & { readonly line: number; readonly text: string };

/** Selects the members of a union by one of their kinds; the `kind` of a member may itself be a union. */
export type OfKind<Union extends { readonly kind: string }, Kind> = Union extends unknown
  ? Kind extends Union['kind']
    ? Union
    : never
  : never;
