/** @file Sends commands to the workers of a shard and applies the results. */
import type { Uint64 } from '../../base/uint64';
import { describeError } from '../../base/loop';
import type { ControllerContext } from '../controller-context';
import type { WorkerHeartbeat } from '../../protocol/model';
import { fencingTokenOf, type Attempt } from './attempt';
import type { AttemptManager } from './attempt-manager';
import { sendCommands, type CommandRequest, type CommandResult } from './command-client';
import type { CommandQueue } from './command-queue';
import type { HeartbeatReconciler } from './heartbeat-reconciler';
import type { Machine } from './machine';
import { ProbeQueue } from './probe-queue';
import type { Shard } from './shard';
import { commandsFor } from './worker-commands';

/** Limit on commands in flight while the workers of a large fleet connect after a failover. */
const MAX_IN_FLIGHT_WHILE_AWAITING_WORKERS = 8;

/** `pending`: sends a request only if there are commands. `probe`: always sends one, to get the worker's state. */
type SendReason = 'pending' | 'probe';

/** A command request in flight. */
interface SentCommand {
  readonly machine: Machine;
  readonly incarnation: Uint64;
  /** Attempts whose start commands the request contains. */
  readonly starts: readonly Attempt[];
}

/** The parts of a shard's owner that the dispatcher works with. */
export interface CommandDispatcherParts {
  readonly queue: CommandQueue;
  readonly attempts: AttemptManager;
  readonly reconciler: HeartbeatReconciler;
}

/** Sends each worker the commands that bring the attempts on its machine to their desired state. */
export class CommandDispatcher {
  readonly #queue: CommandQueue;
  readonly #attempts: AttemptManager;
  readonly #reconciler: HeartbeatReconciler;
  readonly #probes: ProbeQueue;
  readonly #inFlight = new Set<Machine>();
  readonly #maxInFlight: number;

  constructor(
    private readonly shard: Shard,
    private readonly context: ControllerContext,
    { queue, attempts, reconciler }: CommandDispatcherParts,
  ) {
    this.#queue = queue;
    this.#attempts = attempts;
    this.#reconciler = reconciler;
    this.#probes = new ProbeQueue(shard);
    this.#maxInFlight = context.settings.sockets.commands;
  }

  /** Number of command requests in flight. */
  get inFlightCount(): number {
    return this.#inFlight.size;
  }

  /** Sends pending commands up to the limit on sockets; the rest follow as responses arrive. */
  flush(): void {
    const maxInFlight = this.shard.isAwaitingWorkers(this.context.clock.now())
      ? MAX_IN_FLIGHT_WHILE_AWAITING_WORKERS
      : this.#maxInFlight;
    for (const machine of this.#queue) {
      if (this.#inFlight.size >= maxInFlight || !this.shard.entitled) return;
      if (this.#inFlight.has(machine)) continue;
      this.#queue.delete(machine);
      this.#send(machine, 'pending');
    }
  }

  /** Starts probing unconfirmed and unresponsive machines; further probes follow as responses arrive. */
  probe(now: number): void {
    this.#probes.fill(now);
    this.#probeNext();
  }

  #probeNext(): void {
    const now = this.context.clock.now();
    while (this.#inFlight.size < this.#maxInFlight && this.shard.entitled) {
      const machine = this.#probes.next(now, this.#inFlight);
      if (!machine) return;
      this.#send(machine, 'probe');
    }
  }

  #send(machine: Machine, reason: SendReason): void {
    if (machine.record.address === '' || machine.isTerminated || !this.shard.entitled) return;
    const unsent = [...machine.attempts.values()].filter((attempt) => !attempt.wasStartSent);
    this.#discardInvalidStarts(machine, unsent);
    // An unresponsive machine gets no start commands: their attempts would stay unconfirmed until lease expiry.
    const startPolicy = machine.unresponsiveSince === undefined ? 'with starts' : 'without starts';
    const commands = commandsFor(machine, this.shard.tables, startPolicy);
    if (commands.length === 0 && reason === 'pending') return;
    const startCount = commands.filter(({ op }) => op === 'start').length;
    const starts = unsent.filter(({ key }) => machine.attempts.has(key)).slice(0, startCount);
    for (const attempt of starts) attempt.startCommandSent();
    this.#inFlight.add(machine);
    const incarnation = machine.worker.addressedIncarnation;
    const request: CommandRequest = {
      address: machine.record.address,
      fencingToken: this.shard.fencingToken,
      incarnation,
      commands,
      maySend: () => this.shard.entitled,
    };
    this.#sendAndHandleResult({ machine, incarnation, starts }, request);
  }

  /**
   * Discards unsent attempts that are evicted, or numbered under an earlier fencing token. A start command must be sent
   * under the token in its attempt's number, so that a worker that has seen a higher token certainly rejects it.
   */
  #discardInvalidStarts(machine: Machine, unsent: readonly Attempt[]): void {
    for (const attempt of unsent) {
      if (attempt.eviction || fencingTokenOf(attempt.number) !== this.shard.fencingToken)
        this.#attempts.discardUnstarted(machine, attempt.key);
    }
  }

  #sendAndHandleResult(sent: SentCommand, request: CommandRequest): void {
    const { machine } = sent;
    void sendCommands(this.context.workers, request)
      .then((result) => {
        this.#inFlight.delete(machine);
        this.#probes.onCommandEnded(machine);
        if (this.shard.machines.get(machine.id) === machine && !machine.isTerminated) {
          this.#onResult(sent, result);
        }
        this.flush();
        this.#probeNext();
      })
      .catch((error: unknown) => {
        this.context.log.error(
          { machine: machine.id, err: describeError(error) },
          'handling a command result failed',
        );
      });
  }

  #onResult(sent: SentCommand, result: CommandResult): void {
    for (const attempt of sent.starts) attempt.startCommandEnded();
    if (result.kind === 'not sent' || result.kind === 'unknown') this.#onUnanswered(sent, result.kind);
    else if (result.heartbeat && result.heartbeat.machine !== sent.machine.id) {
      this.#onAnsweredByOther(sent, result, result.heartbeat);
    } else this.#onAnswered(sent, result);
  }

  /**
   * Handles the answer of another machine, which has the address of the one that the commands were meant for: the latter
   * is probably gone, and didn't get them. The other one may have executed start commands; its report then moves their
   * attempts to it (`AttemptManager`). If it isn't known yet, they stay unconfirmed until it reports.
   */
  #onAnsweredByOther(
    sent: SentCommand,
    { kind }: CommandResult & { kind: 'done' | 'refused' },
    heartbeat: WorkerHeartbeat,
  ): void {
    const { machine, starts } = sent;
    const { machine: otherId } = heartbeat;
    this.context.log.info({ machine: machine.id, answeredBy: otherId, kind }, 'another machine answered');
    if (kind === 'refused') this.#discardUnstarted(machine, starts);
    const other = this.shard.machines.get(otherId);
    if (kind === 'done' && other?.isUp) this.#reconciler.reconcile(other, heartbeat);
    this.#onUnanswered(sent, 'unknown');
  }

  #onAnswered(sent: SentCommand, result: CommandResult & { kind: 'done' | 'refused' }): void {
    const { machine } = sent;
    machine.worker.commandAnswered();
    if (result.heartbeat) this.#reconciler.reconcile(machine, result.heartbeat);
    if (result.kind === 'refused') this.#discardUnstarted(machine, sent.starts);
    this.#flagUnconfirmedStarts(sent);
    // A worker refuses commands for another incarnation. The refusal contains the worker's own, so a probe follows.
    const isNewIncarnation = !machine.isConfirmed && machine.worker.incarnation !== sent.incarnation;
    if (isNewIncarnation) this.#send(machine, 'probe');
    else if (result.kind === 'done') this.#send(machine, 'pending');
    // After a refusal that revealed no new incarnation, the machine's remaining commands are queued again.
    else this.#queue.add(machine);
  }

  #onUnanswered(sent: SentCommand, kind: 'not sent' | 'unknown'): void {
    const { machine } = sent;
    const now = this.context.clock.now();
    if (kind === 'not sent') {
      machine.worker.commandNotSent();
      this.#discardUnstarted(machine, sent.starts);
    } else {
      machine.worker.commandUnanswered(now);
    }
    machine.backOff(now);
    this.#flagUnconfirmedStarts(sent);
    this.context.log.debug({ machine: machine.id, result: kind }, 'command unanswered');
    // The worker may be stalled, so attempts that were not sent to it yet are discarded, and their tasks go elsewhere.
    const unsent = [...machine.attempts.values()].filter((attempt) => !attempt.wasStartSent);
    this.#discardUnstarted(machine, unsent);
    this.shard.wake();
  }

  #discardUnstarted(machine: Machine, attempts: readonly Attempt[]): void {
    for (const attempt of attempts) this.#attempts.discardUnstarted(machine, attempt.key);
  }

  #flagUnconfirmedStarts({ machine, starts }: SentCommand): void {
    if (starts.some((a) => a.phase === 'starting' && machine.attempts.get(a.key) === a))
      this.shard.hasUnconfirmedStarts = true;
  }
}
