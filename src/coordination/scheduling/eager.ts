/** A machine as the eager trigger sees it. */
export interface QuietMachine {
  readonly id: string;
  readonly zone: string;
  /** Steady time of its last report, or since when one is waited for. */
  readonly heardAt: number;
  readonly busy: boolean;
  /** Nothing in the shard can be issued before it is known what is on it. */
  readonly holdsUp: boolean;
}

export interface EagerInput {
  readonly machines: readonly QuietMachine[];
  readonly now: number;
  /** After this long without a report a machine's tasks are candidates. */
  readonly missedMs: number;
  /** After this long its stop is confirmed by releasing it. */
  readonly releaseMs: number;
  /** The same for one that holds up the shard. */
  readonly heldUpMs: number;
}

export interface EagerResult {
  /** Machines whose tasks should be stopped and issued again, longest silence first. */
  candidates: string[];
  /** Those of them to be released: the quickest way to know that their tasks are gone. */
  release: string[];
}

/** So many silent machines in one zone, or in all, look like a cut of ours rather than like their own failure. */
const FEW = 2;
const SUSPICIOUS_SHARE = 0.3;

/** The eager trigger: which machines have gone silent, and which of them to give up. */
export function eagerCandidates(input: EagerInput): EagerResult {
  const silentFor = (m: QuietMachine): number => input.now - m.heardAt;
  const silent = input.machines.filter(
    (m) => silentFor(m) > (m.holdsUp ? Math.min(input.missedMs, input.heldUpMs) : input.missedMs),
  );
  silent.sort((a, b) => silentFor(b) - silentFor(a));
  const suspicious = (some: number, all: number): boolean => some > FEW && some > all * SUSPICIOUS_SHARE;
  const zoneOf = (zone: string, of: readonly QuietMachine[]): number =>
    of.filter((m) => m.zone === zone).length;
  const lost = silent.filter(
    (m) =>
      !suspicious(zoneOf(m.zone, silent), zoneOf(m.zone, input.machines)) &&
      !suspicious(silent.length, input.machines.length),
  );
  return {
    candidates: lost.filter((m) => m.busy).map((m) => m.id),
    release: lost
      .filter((m) => silentFor(m) > (m.holdsUp ? Math.min(input.heldUpMs, input.releaseMs) : input.releaseMs))
      .map((m) => m.id),
  };
}
