import type { Clock } from '../base/clock';
import type { Lag } from '../base/lag';
import type { Log } from '../base/log';
import type { Random } from '../base/random';
import type { Settings } from '../base/settings';
import type { FormatGate } from '../bookkeeping/format-gate';
import type { DependencyTracker } from '../bookkeeping/dependency-tracker';
import type { EndedJobs } from '../bookkeeping/ended-jobs';
import type { JobStore } from '../bookkeeping/job-store';
import type { Session } from '../bookkeeping/session';
import type { WatchCache } from '../bookkeeping/watch-cache';
import type { ChainUrgency } from './chain-urgency';
import type { Cloud } from '../protocol/cloud';
import type { MachineType } from '../protocol/model';
import type { Event, StateStore } from '../protocol/state';
import type { HttpCaller } from '../transport/http-client';

/** What the parts of a node share. All that touches the world outside is injected here. */
export interface Deps {
  readonly node: string;
  readonly settings: Settings;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly lag: Lag;
  readonly store: StateStore;
  readonly cache: WatchCache;
  readonly formatGate: FormatGate;
  readonly session: Session;
  readonly jobs: JobStore;
  readonly ended: EndedJobs;
  readonly dependencies: DependencyTracker;
  readonly chainUrgency: ChainUrgency;
  readonly cloud: Cloud;
  /** For calls to workers. */
  readonly workers: HttpCaller;
  types(): readonly MachineType[];
  /** Passes a change that was just acknowledged to this node's copy and to the peers. */
  announce(event: Event): void;
}
