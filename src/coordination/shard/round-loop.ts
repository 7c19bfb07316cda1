/** @file The rounds in which the owner of a shard works out what to do, and their pace. */
import type { WakeSignal } from '../../base/clock';
import type { HandoverTrace } from '../../suspicion/handover-trace';
import type { ControllerContext } from '../controller-context';
import type { Scheduler } from '../scheduling/scheduler';
import type { CommandDispatcher } from './command-dispatcher';
import type { Shard } from './shard';
import { summarizeShard } from './shard-summary';

/** The longest time between two rounds, and the shortest between two runs of the periodic tasks. */
const TICK_MS = 250;
const EVENTS_GATHER_MS = 4;
/** Rounds get at most one part in so many of the time: heartbeats, commands and users need the rest. */
const ROUND_PART = 4;
const SUMMARY_INTERVAL_MS = 10_000;

/** The parts of a shard's owner that take part in rounds. */
export interface RoundLoopParts {
  /** Wakes the loop when there is work for a round. */
  readonly wake: WakeSignal;
  readonly scheduler: Scheduler;
  readonly dispatcher: CommandDispatcher;
}

/** Runs rounds whenever there is work for one, as far as the time allows. */
export class RoundLoop {
  readonly #wake: WakeSignal;
  readonly #scheduler: Scheduler;
  readonly #dispatcher: CommandDispatcher;
  #handover: HandoverTrace | undefined;
  #periodicTasksAt = -Infinity;
  #summaryAt = -Infinity;

  constructor(
    private readonly shard: Shard,
    private readonly context: ControllerContext,
    { wake, scheduler, dispatcher }: RoundLoopParts,
  ) {
    this.#wake = wake;
    this.#scheduler = scheduler;
    this.#dispatcher = dispatcher;
  }

  /** Reports to the trace how far the handover of the shard to this owner is. */
  traceHandover(handover: HandoverTrace | undefined): void {
    this.#handover = handover;
  }

  /** The shard is lost again: its handover is broken off, if it is not over. */
  abandonHandover(): void {
    this.#handover?.abandon();
  }

  /** One step; to be run in a loop. */
  async step(signal: AbortSignal): Promise<void> {
    const { clock } = this.context;
    await this.#wake.wait(TICK_MS);
    await clock.sleep(EVENTS_GATHER_MS, signal);
    if (signal.aborted || !this.shard.entitled) return;
    const now = clock.now();
    this.#runPeriodicTasks(now);
    const isUnfinished = !this.shard.isAwaitingWorkers(now) && this.#scheduler.runRound(now);
    this.#dispatcher.flush();
    if (this.#handover) this.#traceProgress(this.#handover, isUnfinished);
    this.#logSummary(now);
    if (isUnfinished) this.#wake.wake();
    const pauseMs = (clock.now() - now) * (ROUND_PART - 1);
    if (pauseMs <= EVENTS_GATHER_MS) return;
    await clock.sleep(Math.min(this.context.settings.throttling.roundPauseMs, pauseMs), signal);
  }

  #runPeriodicTasks(now: number): void {
    if (now - this.#periodicTasksAt < TICK_MS) return;
    this.#periodicTasksAt = now;
    this.#scheduler.runPeriodicTasks(now);
    this.#dispatcher.probe(now);
  }

  /** After a round: how far the handover is. */
  #traceProgress(handover: HandoverTrace, isRoundUnfinished: boolean): void {
    const { shard } = this;
    if (!shard.areAllMachinesConfirmed) return;
    handover.recordStep('workers confirmed', { machines: shard.machines.size });
    if (!isRoundUnfinished) handover.recordStep('orphaned jobs placed', { jobs: shard.tables.size });
    if (handover.isComplete) this.#handover = undefined;
  }

  /** One line every now and then, by which an operator sees the state of the shard. */
  #logSummary(now: number): void {
    if (now - this.#summaryAt < SUMMARY_INTERVAL_MS) return;
    this.#summaryAt = now;
    const { shard } = this;
    const summary = summarizeShard(shard, this.#scheduler.unplaced, now);
    this.context.log.info({ shard: shard.number, jobs: shard.tables.size, ...summary }, 'shard');
  }
}
