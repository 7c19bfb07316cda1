/** A machine as the eager trigger sees it. */
export interface MonitoredMachine {
  readonly id: string;
  readonly zone: string;
  /** Steady time of its last report, or since when one is waited for. */
  readonly lastHeartbeatAt: number;
  readonly isBusy: boolean;
  /** Nothing in the shard can be issued before it is known what is on it. */
  readonly blocksShard: boolean;
}

export interface EagerInput {
  readonly machines: readonly MonitoredMachine[];
  readonly now: number;
  /** After this long without a report a machine's tasks are candidates. */
  readonly heartbeatTimeoutMs: number;
  /** After this long its stop is confirmed by releasing it. */
  readonly returnAfterMs: number;
  /** The same for one that holds up the shard. */
  readonly shardBlockedMs: number;
}

export interface EagerResult {
  /** Machines whose tasks should be stopped and issued again, longest silence first. */
  candidates: string[];
  /** Those of them to be released: the quickest way to know that their tasks are gone. */
  toReturn: string[];
}

/** So many silent machines in one zone, or in all, look like a cut of ours rather than like their own failure. */
const MAX_UNSUSPICIOUS = 2;
const SUSPICIOUS_SHARE = 0.3;

/** The eager trigger: which machines have gone silent, and which of them to give up. */
export function eagerCandidates(input: EagerInput): EagerResult {
  const silentFor = (m: MonitoredMachine): number => input.now - m.lastHeartbeatAt;
  const silent = input.machines.filter(
    (m) =>
      silentFor(m) >
      (m.blocksShard ? Math.min(input.heartbeatTimeoutMs, input.shardBlockedMs) : input.heartbeatTimeoutMs),
  );
  silent.sort((a, b) => silentFor(b) - silentFor(a));
  const suspicious = (some: number, all: number): boolean =>
    some > MAX_UNSUSPICIOUS && some > all * SUSPICIOUS_SHARE;
  const zoneOf = (zone: string, of: readonly MonitoredMachine[]): number =>
    of.filter((m) => m.zone === zone).length;
  const lost = silent.filter(
    (m) =>
      !suspicious(zoneOf(m.zone, silent), zoneOf(m.zone, input.machines)) &&
      !suspicious(silent.length, input.machines.length),
  );
  return {
    candidates: lost.filter((m) => m.isBusy).map((m) => m.id),
    toReturn: lost
      .filter(
        (m) =>
          silentFor(m) >
          (m.blocksShard ? Math.min(input.shardBlockedMs, input.returnAfterMs) : input.returnAfterMs),
      )
      .map((m) => m.id),
  };
}
