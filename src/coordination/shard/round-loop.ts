/** @file Runs the scheduling rounds of a shard's owner, and limits their share of the event loop's time. */
import type { WakeSignal } from '../../base/clock';
import type { HandoverTrace } from '../../suspicion/handover-trace';
import type { ControllerContext } from '../controller-context';
import type { Scheduler } from '../scheduling/scheduler';
import type { CommandDispatcher } from './command-dispatcher';
import type { Shard } from './shard';
import { summarizeShard } from './shard-summary';

/** The maximum interval between scheduling rounds, and the minimum interval between runs of the periodic tasks. */
const TICK_MS = 250;
/** Delay before a round, so that one round handles all events that arrive at about the same time. */
const EVENT_BATCHING_MS = 4;
/** Rounds take at most 1/4 of the time: heartbeats, commands and user requests need the rest. */
const ROUND_TIME_DIVISOR = 4;
const SUMMARY_INTERVAL_MS = 10_000;

/** The components of a shard's owner that a round uses. */
export interface RoundLoopParts {
  /** Wakes the loop when there is work for a scheduling round. */
  readonly wake: WakeSignal;
  readonly scheduler: Scheduler;
  readonly dispatcher: CommandDispatcher;
}

/** Runs a round whenever there is work, within the time limit for rounds. */
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

  /** Sets the trace that records the progress of the shard's handover to this owner. */
  traceHandover(handover: HandoverTrace | undefined): void {
    this.#handover = handover;
  }

  /** Marks an unfinished handover as abandoned, because this owner stops. */
  abandonHandover(): void {
    this.#handover?.abandon();
  }

  /** Waits for work, and runs a scheduling round. Run in a loop. */
  async step(signal: AbortSignal): Promise<void> {
    const { clock } = this.context;
    await this.#wake.wait(TICK_MS);
    await clock.sleep(EVENT_BATCHING_MS, signal);
    if (signal.aborted || !this.shard.entitled) return;
    const now = clock.now();
    this.#runPeriodicTasks(now);
    const isUnfinished = !this.shard.isAwaitingWorkers(now) && this.#scheduler.runRound(now);
    this.#dispatcher.flush();
    if (this.#handover) this.#traceProgress(this.#handover, isUnfinished);
    this.#logSummary(now);
    if (isUnfinished) this.#wake.wake();
    const pauseMs = (clock.now() - now) * (ROUND_TIME_DIVISOR - 1);
    if (pauseMs <= EVENT_BATCHING_MS) return;
    await clock.sleep(Math.min(this.context.settings.throttling.roundPauseMs, pauseMs), signal);
  }

  #runPeriodicTasks(now: number): void {
    if (now - this.#periodicTasksAt < TICK_MS) return;
    this.#periodicTasksAt = now;
    this.#scheduler.runPeriodicTasks(now);
    this.#dispatcher.probe(now);
  }

  /** Records the handover steps that are complete after a round. */
  #traceProgress(handover: HandoverTrace, isRoundUnfinished: boolean): void {
    const { shard } = this;
    if (!shard.areAllMachinesConfirmed) return;
    handover.recordStep('workers confirmed', { machines: shard.machines.size });
    if (!isRoundUnfinished) handover.recordStep('orphaned jobs placed', { jobs: shard.tables.size });
    if (handover.isComplete) this.#handover = undefined;
  }

  /** Logs the state of the shard for operators, once per `SUMMARY_INTERVAL_MS`. */
  #logSummary(now: number): void {
    if (now - this.#summaryAt < SUMMARY_INTERVAL_MS) return;
    this.#summaryAt = now;
    const { shard } = this;
    const summary = summarizeShard(shard, this.#scheduler.unplaced, now);
    this.context.log.info({ shard: shard.number, jobs: shard.tables.size, ...summary }, 'shard summary');
  }
}
