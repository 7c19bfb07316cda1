import { describeError } from '../../base/loop';
import type { WorkerCommand, WorkerHeartbeat } from '../../protocol/model';
import type { AttemptManager } from './attempt-manager';
import type { Shard } from './shard';
import { sendCommands, type CommandResult } from './command-client';
import type { ControllerContext } from '../controller-context';
import { fencingTokenOf, type Attempt, type Machine } from './machine';

const MAX_COMMANDS = 200;
/** Between two questions to a machine that has not shown our token, or that hears nothing. */
const PROBE_INTERVAL_MS = 1_000;
/**
 * Questions that may be out and answered soon: each answer costs ten times a report. Those that have been out for
 * longer, to machines beyond a cut, hold up no others: a few dozen at a time took half a minute for a third of a fleet.
 */
const MAX_RECENT_PROBES = 24;
/** Commands that may be out while a large fleet's workers come. */
const MAX_IN_FLIGHT_WHILE_AWAITING_WORKERS = 8;

/** Sends each worker the difference between what is wanted of it and what is on it. */
export class CommandDispatcher {
  /** Machines with commands to be sent, in the order in which they came to have it. */
  readonly #pending = new Set<Machine>();
  readonly #inFlight = new Set<Machine>();
  readonly #maxInFlight: number;
  /** Machines with a question to come, the last one first. */
  #probeQueue: Machine[] = [];
  #probeRoundAt = -Infinity;
  /** Those asked since then whose answers may still come soon. */
  readonly #recentProbes = new Set<Machine>();

  constructor(
    private readonly shard: Shard,
    private readonly attempts: () => AttemptManager,
    private readonly context: ControllerContext,
    private readonly absorb: (machine: Machine, heartbeat: WorkerHeartbeat) => void,
  ) {
    this.#maxInFlight = context.settings.sockets.commands;
  }

  /** How many commands have left and are not answered. */
  get inFlightCount(): number {
    return this.#inFlight.size;
  }

  /** The machine is to be sent its commands at the end of the round. */
  schedule(machine: Machine): void {
    this.#pending.add(machine);
  }

  cancel(machine: Machine): void {
    this.#pending.delete(machine);
  }

  /** Sends what is due, as far as sockets allow; the rest goes out as answers come in. */
  flush(): void {
    const most = this.shard.isAwaitingWorkers(this.context.clock.now())
      ? MAX_IN_FLIGHT_WHILE_AWAITING_WORKERS
      : this.#maxInFlight;
    for (const machine of this.#pending) {
      if (this.#inFlight.size >= most || !this.shard.entitled) return;
      if (this.#inFlight.has(machine)) continue;
      this.#pending.delete(machine);
      this.#sendCommands(machine, false);
    }
  }

  /**
   * Asks machines directly that have not shown our token yet, for their reports may be on their way elsewhere, and
   * those that seem to hear nothing. The longest unasked go first, the next as answers come in.
   */
  probe(now: number): void {
    const due = new Set(this.shard.isAwaitingWorkers(now) ? [] : this.shard.unconfirmed);
    // Workers that another node keeps may be within our reach all the same: their reports go there, so we ask.
    const kept = this.shard.isRelayed;
    for (const m of this.shard.machines.values()) {
      if (
        m.unresponsiveSince !== undefined ||
        (kept && m.hasMissedHeartbeats(now, this.shard.timing.heartbeatTimeoutMs))
      )
        due.add(m);
    }
    this.#probeRoundAt = now;
    this.#recentProbes.clear();
    this.#probeQueue = [...due].sort((a, b) => b.lastProbeAt - a.lastProbeAt);
    this.#probeNext();
  }

  #probeNext(): void {
    const now = this.context.clock.now();
    while (
      this.#inFlight.size < this.#maxInFlight &&
      this.#recentProbes.size < MAX_RECENT_PROBES &&
      this.shard.entitled
    ) {
      const machine = this.#probeQueue.pop();
      if (!machine) return;
      // What it reported meanwhile may have told what was to be asked.
      const told =
        machine.isConfirmed &&
        machine.unresponsiveSince === undefined &&
        (machine.lastHeartbeatAt ?? -1) >= this.#probeRoundAt;
      if (!machine.isUp || machine.isTerminated || told) continue;
      if (now - machine.lastProbeAt < PROBE_INTERVAL_MS || this.#inFlight.has(machine)) continue;
      machine.lastProbeAt = now;
      this.#recentProbes.add(machine);
      this.#sendCommands(machine, true);
    }
  }

  /** What is wanted of the machine. Starts go by command only: a command's answer tells what became of them. */
  commandsFor(machine: Machine, withStarts: boolean): WorkerCommand[] {
    const commands: WorkerCommand[] = [];
    for (const attempt of machine.attempts.values()) {
      if (commands.length >= MAX_COMMANDS) break;
      const { job, task, number } = attempt;
      if (attempt.phase === 'exited') {
        const table = this.shard.tables.get(job);
        // A completion is forgotten only once it is recorded: until then the worker is who remembers it.
        const settled = attempt.exitCause !== 'done' || !table || table.recorded.has(task);
        if (settled && machine.mayForget(attempt))
          commands.push({ op: 'forget', job, task, attempt: number });
      } else if (attempt.eviction) {
        const saving = attempt.phase === 'checkpointing' && attempt.eviction.graceS > 0;
        if (attempt.wasSent && !saving) {
          commands.push({ op: 'stop', job, task, attempt: number, graceS: attempt.eviction.graceS });
        }
      } else if (withStarts && !attempt.wasSent) {
        commands.push({ op: 'start', job, task, attempt: number });
      }
    }
    return commands;
  }

  /** Sends the difference straight to the worker; with `asks` also when there is none, to hear from it. */
  #sendCommands(machine: Machine, asks: boolean): void {
    if (machine.record.address === '' || machine.isTerminated || !this.shard.entitled) return;
    const unsent = [...machine.attempts.values()].filter((a) => !a.wasSent);
    for (const attempt of unsent) {
      // A start that has not left and is no longer wanted never will. Nor will one that was numbered under an
      // earlier token: its number must name the token that it is sent with, for that is what ends all doubt about it.
      if (attempt.eviction || fencingTokenOf(attempt.number) !== this.shard.fencingToken)
        this.attempts().discardUnstarted(machine, attempt.key);
    }
    // What is asked of a machine that hears nothing holds no starts: they would be stuck there.
    const commands = this.commandsFor(machine, machine.unresponsiveSince === undefined);
    if (commands.length === 0 && !asks) return;
    const starts = commands.filter((o) => o.op === 'start').length;
    const sent = unsent.filter((a) => machine.attempts.has(a.key)).slice(0, starts);
    for (const attempt of sent) {
      attempt.wasSent = true;
      attempt.isStartInFlight = true;
    }
    this.#inFlight.add(machine);
    const incarnation = machine.incarnation > 0 ? machine.incarnation : machine.unverifiedIncarnation;
    const command = {
      address: machine.record.address,
      fencingToken: this.shard.fencingToken,
      incarnation,
      commands,
      maySend: () => this.shard.entitled,
    };
    void sendCommands(this.context.workers, command)
      .then((result) => {
        this.#inFlight.delete(machine);
        this.#recentProbes.delete(machine);
        if (this.shard.machines.get(machine.id) === machine && !machine.isTerminated) {
          this.#onResult(machine, incarnation, sent, result);
        }
        this.flush();
        this.#probeNext();
      })
      .catch((error: unknown) => {
        this.context.log.error({ machine: machine.id, err: describeError(error) }, 'a command failed');
      });
  }

  #onResult(machine: Machine, incarnation: number, sent: readonly Attempt[], result: CommandResult): void {
    for (const attempt of sent) attempt.isStartInFlight = false;
    machine.isLastCommandUnanswered = result.kind === 'unknown' || result.kind === 'not sent';
    const now = this.context.clock.now();
    if (result.kind === 'done' || result.kind === 'refused') {
      machine.unresponsiveSince = undefined;
      if (result.report) this.absorb(machine, result.report);
    }
    if (result.kind === 'refused' || result.kind === 'not sent') {
      for (const attempt of sent) this.attempts().discardUnstarted(machine, attempt.key);
      if (result.kind === 'not sent') machine.backOff(now);
    }
    if (sent.some((a) => a.phase === 'starting' && machine.attempts.get(a.key) === a))
      this.shard.hasUnconfirmedStarts = true;
    if (machine.isLastCommandUnanswered) {
      this.context.log.debug({ machine: machine.id, result: result.kind }, 'command unanswered');
      if (result.kind === 'unknown') {
        machine.backOff(now);
        machine.unresponsiveSince ??= now;
        machine.lastProbeAt = now;
      }
      // What was placed here meanwhile goes elsewhere: the machine may be hanging.
      for (const attempt of [...machine.attempts.values()])
        if (!attempt.wasSent) this.attempts().discardUnstarted(machine, attempt.key);
      this.shard.wake();
      return;
    }
    // The first command to a machine whose session we did not know yet is refused; the answer tells it.
    const again = !machine.isConfirmed && machine.incarnation !== incarnation;
    // One that refuses us for another reason is asked again at the pace of rounds.
    if (again || result.kind === 'done') this.#sendCommands(machine, again);
    else this.schedule(machine);
  }
}
