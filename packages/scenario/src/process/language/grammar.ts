import * as ohm from 'ohm-js';

/** Grammar of one statement of the scenario language; a scenario has one on each line. See `docs/scenarios.md`. */
export const grammar = ohm.grammar(String.raw`
Scenario {
  Statement
    = Deployment | Set | Work | Cold | StartFleet | WarmUp | Load | StopLoad | Wait | Change | Cut | Heal | Platform | Lag
    | Listed | Withdraw | RollOut | Crash | Slow | Health | Expect

  Deployment = "deployment" name "with" integer "VMs" "per" "service" DomainCount?
  DomainCount = "in" integer "failure" "domains"
  Set = "set" header name "=" text
  Work = "work" "of" name "takes" duration
  Cold = "backend" "servers" "start" "cold" "for" duration
  StartFleet = "start" "fleet"

  Load = "load" name "of" name "on" NonemptyListOf<name, ","> "at" number "per" "second" "for" duration LoadOptions
  LoadOptions = LoadOption*
  LoadOption
    = "retrying" integer "times"                 -- retrying
    | "through" NonemptyListOf<name, ",">        -- through
    | "with" "no" "key"                          -- noKey
    | "with" "an" "unknown" "key"                -- unknownKey
    | "exposing" "the" "key" "in" place          -- exposing
    | "with" "bodies" "of" integer "bytes"       -- bodies
    | "giving" "up" "after" duration             -- timeout
  WarmUp = "warm" "up" "of" name "on" NonemptyListOf<name, ","> "at" number "per" "second" "for" duration
  StopLoad = "end" "load" name
  Wait
    = "wait" "for" "load" name                   -- load
    | "wait" "for" "all" "loads"                 -- loads
    | "wait" duration                            -- time

  Change = change part name
  Cut = "cut" Party "from" Party manner
  Party
    = "VM" name                                  -- vm
    | "failure" "domain" name                    -- domain
    | "everything"                               -- everything
  Heal = "heal" "all" "links"

  Platform = platformPart platformState
  Lag = "list" "lags" duration
  Listed = "list" "shows" name "as" listState
  Withdraw = "withdraw" "key" "of" name
  RollOut = "roll" "out" header name "=" text
  Crash = "crash" "request" "to" name "of" name integer "times"
  Slow = "slow" "down" name "by" number
  Health = "health" "of" name "says" healthState

  Expect = "expect" Measure comparison Value Within?
  Within = "within" duration
  Value = duration | percent | number
  Measure
    = ending "fraction" "of" name                -- fraction
    | ending "of" name "in" "the" "last" duration -- recent
    | ending "of" name                           -- count
    | ending "per" "second" "of" name            -- rate
    | "double" "runs"                            -- doubleRuns
    | "runs" "behind" "not" "run"                -- notRunButRan
    | "keys" "seen"                              -- keysSeen
    | "wrong" "answers"                          -- wrong
    | "refusals" name "of" name                  -- refusals
    | "refused" "inside" "the" "rate" "of" name  -- refusedInside
    | "attempts" "per" "request" "of" name       -- attempts
    | "runs" "of" name "per" "request" "of" name -- runsPerRequest
    | "runs" "of" name                           -- runs
    | "work" "at" name duration "after" "leaving" -- workAfterLeaving
    | "important" "requests" "shed" "before" "lesser" "ones" -- inversions
    | "version" "at" name                        -- version
    | "lowest" "version"                         -- lowestVersion
    | "time" "to" "take" "effect"                -- takeEffect
    | "time" "until" "withdrawal" "of" name "holds" -- withdrawal
    | "platform" "reads" "per" "second"          -- reads
    | "crashed" "backend" "servers"              -- crashed
    | "ended" "nodes"                            -- endedNodes
    | "latency" percentile "of" name             -- latency

  header = "[" (~"]" any)+ "]"
  text = any*
  name = (letter | digit) (alnum | "-" | "." | "_")*
  ending = ("whole" | "refused not run" | "unknown" | "failed" | "wrong" | "sent") ~alnum
  change = ("start" | "stop" | "kill" | "freeze" | "resume") ~alnum
  part = ("node of" | "backend server of" | "VM") ~alnum
  manner = ("silently" | "refusing") ~alnum
  place = ("header" | "query" | "encoded query" | "body") ~alnum
  platformPart = ("platform" | "configuration service" | "VM list") ~alnum
  platformState = ("stops" | "goes silent" | "goes stale" | "resumes") ~alnum
  listState = ("live" | "leaving" | "absent") ~alnum
  healthState = ("healthy" | "draining") ~alnum
  comparison = "<=" | ">=" | "<" | ">" | "="
  percentile = "p50" | "p99"
  integer = digit+
  number = digit+ ("." digit+)?
  percent = number "%"
  duration = number space* ("ms" | "s") ~alnum
}
`);
