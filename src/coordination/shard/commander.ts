import { describeError } from '../../base/loop';
import type { WorkerCommand, WorkerHeartbeat } from '../../protocol/model';
import type { Attempts } from './attempts';
import type { Shard } from './shard';
import { sendCommands, type CommandResult } from './commands';
import type { NodeContext } from '../node-context';
import { fencingTokenOf, type Attempt, type Machine } from './machine';

const MAX_COMMANDS = 200;
/** Between two questions to a machine that has not shown our token, or that hears nothing. */
const ASK_EVERY_MS = 1_000;
/**
 * Questions that may be out and answered soon: each answer costs ten times a report. Those that have been out for
 * longer, to machines beyond a cut, hold up no others: a few dozen at a time took half a minute for a third of a fleet.
 */
const MOST_ASKED = 24;
/** Commands that may be out while a large fleet's workers come. */
const OUT_WHILE_THEY_COME = 8;

/** Sends each worker the difference between what is wanted of it and what is on it. */
export class Commander {
  /** Machines with commands to be sent, in the order in which they came to have it. */
  readonly #due = new Set<Machine>();
  readonly #out = new Set<Machine>();
  readonly #mostOut: number;
  /** Machines with a question to come, the last one first. */
  #toAsk: Machine[] = [];
  #listedAt = -Infinity;
  /** Those asked since then whose answers may still come soon. */
  readonly #askedLately = new Set<Machine>();

  constructor(
    private readonly shard: Shard,
    private readonly attempts: () => Attempts,
    private readonly deps: NodeContext,
    private readonly absorb: (machine: Machine, heartbeat: WorkerHeartbeat) => void,
  ) {
    this.#mostOut = deps.settings.sockets.commands;
  }

  /** How many commands have left and are not answered. */
  get outstanding(): number {
    return this.#out.size;
  }

  /** The machine is to be sent its commands at the end of the round. */
  due(machine: Machine): void {
    this.#due.add(machine);
  }

  forget(machine: Machine): void {
    this.#due.delete(machine);
  }

  /** Sends what is due, as far as sockets allow; the rest goes out as answers come in. */
  flush(): void {
    const most = this.shard.workersAreComing(this.deps.clock.now()) ? OUT_WHILE_THEY_COME : this.#mostOut;
    for (const machine of this.#due) {
      if (this.#out.size >= most || !this.shard.entitled) return;
      if (this.#out.has(machine)) continue;
      this.#due.delete(machine);
      this.#command(machine, false);
    }
  }

  /**
   * Asks machines directly that have not shown our token yet, for their reports may be on their way elsewhere, and
   * those that seem to hear nothing. The longest unasked go first, the next as answers come in.
   */
  ask(now: number): void {
    const due = new Set(this.shard.workersAreComing(now) ? [] : this.shard.unsettled);
    // Workers that another node keeps may be within our reach all the same: their reports go there, so we ask.
    const kept = this.shard.isKept;
    for (const m of this.shard.machines.values()) {
      if (m.deafSince !== undefined || (kept && m.isSilent(now, this.shard.timing.missedMs))) due.add(m);
    }
    this.#listedAt = now;
    this.#askedLately.clear();
    this.#toAsk = [...due].sort((a, b) => b.probedAt - a.probedAt);
    this.#askNext();
  }

  #askNext(): void {
    const now = this.deps.clock.now();
    while (this.#out.size < this.#mostOut && this.#askedLately.size < MOST_ASKED && this.shard.entitled) {
      const machine = this.#toAsk.pop();
      if (!machine) return;
      // What it reported meanwhile may have told what was to be asked.
      const told =
        machine.settled && machine.deafSince === undefined && (machine.heardAt ?? -1) >= this.#listedAt;
      if (!machine.up || machine.gone || told) continue;
      if (now - machine.probedAt < ASK_EVERY_MS || this.#out.has(machine)) continue;
      machine.probedAt = now;
      this.#askedLately.add(machine);
      this.#command(machine, true);
    }
  }

  /** What is wanted of the machine. Starts go by command only: a command's answer tells what became of them. */
  commandsFor(machine: Machine, withStarts: boolean): WorkerCommand[] {
    const commands: WorkerCommand[] = [];
    for (const attempt of machine.attempts.values()) {
      if (commands.length >= MAX_COMMANDS) break;
      const { job, task, attempt: number } = attempt;
      if (attempt.phase === 'exited') {
        const table = this.shard.tables.get(job);
        // A completion is forgotten only once it is recorded: until then the worker is who remembers it.
        const settled = attempt.cause !== 'done' || !table || table.recorded.has(task);
        if (settled && machine.mayForget(attempt))
          commands.push({ op: 'forget', job, task, attempt: number });
      } else if (attempt.stop) {
        const saving = attempt.phase === 'saving' && attempt.stop.graceS > 0;
        if (attempt.posted && !saving) {
          commands.push({ op: 'stop', job, task, attempt: number, graceS: attempt.stop.graceS });
        }
      } else if (withStarts && !attempt.posted) {
        commands.push({ op: 'start', job, task, attempt: number });
      }
    }
    return commands;
  }

  /** Sends the difference straight to the worker; with `asks` also when there is none, to hear from it. */
  #command(machine: Machine, asks: boolean): void {
    if (machine.record.address === '' || machine.gone || !this.shard.entitled) return;
    const unsent = [...machine.attempts.values()].filter((a) => !a.posted);
    for (const attempt of unsent) {
      // A start that has not left and is no longer wanted never will. Nor will one that was numbered under an
      // earlier token: its number must name the token that it is sent with, for that is what ends all doubt about it.
      if (attempt.stop || fencingTokenOf(attempt.attempt) !== this.shard.fencingToken)
        this.attempts().neverStarted(machine, attempt.key);
    }
    // What is asked of a machine that hears nothing holds no starts: they would be stuck there.
    const commands = this.commandsFor(machine, machine.deafSince === undefined);
    if (commands.length === 0 && !asks) return;
    const starts = commands.filter((o) => o.op === 'start').length;
    const sent = unsent.filter((a) => machine.attempts.has(a.key)).slice(0, starts);
    for (const attempt of sent) {
      attempt.posted = true;
      attempt.inFlight = true;
    }
    this.#out.add(machine);
    const incarnation = machine.incarnation > 0 ? machine.incarnation : machine.unverifiedIncarnation;
    const command = {
      address: machine.record.address,
      fencingToken: this.shard.fencingToken,
      incarnation,
      commands,
      maySend: () => this.shard.entitled,
    };
    void sendCommands(this.deps.workers, command)
      .then((result) => {
        this.#out.delete(machine);
        this.#askedLately.delete(machine);
        if (this.shard.machines.get(machine.id) === machine && !machine.gone) {
          this.#answered(machine, incarnation, sent, result);
        }
        this.flush();
        this.#askNext();
      })
      .catch((error: unknown) => {
        this.deps.log.error({ machine: machine.id, err: describeError(error) }, 'a command failed');
      });
  }

  #answered(machine: Machine, incarnation: number, sent: readonly Attempt[], result: CommandResult): void {
    for (const attempt of sent) attempt.inFlight = false;
    machine.unanswered = result.kind === 'unknown' || result.kind === 'not sent';
    const now = this.deps.clock.now();
    if (result.kind === 'done' || result.kind === 'refused') {
      machine.deafSince = undefined;
      if (result.report) this.absorb(machine, result.report);
    }
    if (result.kind === 'refused' || result.kind === 'not sent') {
      for (const attempt of sent) this.attempts().neverStarted(machine, attempt.key);
      if (result.kind === 'not sent') machine.avoid(now);
    }
    if (sent.some((a) => a.phase === 'sent' && machine.attempts.get(a.key) === a))
      this.shard.startsInDoubt = true;
    if (machine.unanswered) {
      this.deps.log.debug({ machine: machine.id, result: result.kind }, 'command unanswered');
      if (result.kind === 'unknown') {
        machine.avoid(now);
        machine.deafSince ??= now;
        machine.probedAt = now;
      }
      // What was placed here meanwhile goes elsewhere: the machine may be hanging.
      for (const attempt of [...machine.attempts.values()])
        if (!attempt.posted) this.attempts().neverStarted(machine, attempt.key);
      this.shard.wake();
      return;
    }
    // The first command to a machine whose session we did not know yet is refused; the answer tells it.
    const again = !machine.settled && machine.incarnation !== incarnation;
    // One that refuses us for another reason is asked again at the pace of rounds.
    if (again || result.kind === 'done') this.#command(machine, again);
    else this.due(machine);
  }
}
