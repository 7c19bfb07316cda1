/** @file The services that the components of a controller share. */
import type { Clock } from '../base/clock';
import type { EventLoopDelay } from '../base/event-loop-delay';
import type { Log } from '../base/log';
import type { Random } from '../base/random';
import type { RefusedMessages } from '../base/refused-messages';
import type { Settings } from '../base/settings';
import type { FormatGate } from '../bookkeeping/format-gate';
import type { DependencyTracker } from '../bookkeeping/dependency-tracker';
import type { EndedJobs } from '../bookkeeping/ended-jobs';
import type { JobStore } from '../bookkeeping/job-store';
import type { RecordMemory } from '../bookkeeping/record-memory';
import type { Session } from '../bookkeeping/session';
import type { WatchCache } from '../bookkeeping/watch-cache';
import type { ChainUrgency } from './scheduling/chain-urgency';
import type { Cloud } from '../protocol/cloud';
import type { MachineType } from '../protocol/model';
import type { ChangeEvent, KeyValueStore } from '../protocol/key-value-store';
import type { Suspicion } from '../suspicion/suspicion';
import type { HttpCaller } from '../transport/http-client';

/** Shared services of one controller. Clock, randomness and all input and output are injected here. */
export interface ControllerContext {
  readonly controllerId: string;
  readonly settings: Settings;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly refusedMessages: RefusedMessages;
  /** Decides which work to shed while the event loop is delayed. */
  readonly eventLoopDelay: EventLoopDelay;
  readonly store: KeyValueStore;
  readonly cache: WatchCache;
  /** The memory that the records of the watch cache take. */
  readonly memory: RecordMemory;
  readonly formatGate: FormatGate;
  readonly session: Session;
  readonly jobs: JobStore;
  readonly endedJobs: EndedJobs;
  readonly dependencies: DependencyTracker;
  readonly chainUrgency: ChainUrgency;
  /** Undefined if suspicion is off. */
  readonly suspicion: Suspicion | undefined;
  readonly cloud: Cloud;
  /** For calls to workers. */
  readonly workers: HttpCaller;
  /** The machine types that the cloud offers. */
  types(): readonly MachineType[];
  /** Applies an acknowledged change to this controller's watch cache, and notifies the peers of it. */
  publish(event: ChangeEvent): void;
}
