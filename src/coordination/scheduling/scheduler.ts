import { PRIORITY_RANK, subtractResources, type Job } from '../../protocol/model';
import type { Attempts } from '../shard/attempts';
import type { Shard } from '../shard/shard';
import { chooseConsolidation, type SparseMachine } from './consolidation';
import type { NodeContext } from '../node-context';
import { eagerCandidates } from './eager';
import type { FleetInput, FleetMachine, RentOption } from '../fleet/fleet';
import { holdsRoom, ranS, type Machine } from '../shard/machine';
import { fits, mayUse, order, place, type RoomyMachine, type Turn, type WaitingJob } from './placement';
import { choosePreemptions, stopCost, type CrowdedMachine } from './preemption';

/** A machine that stays silent although it may be a cut of ours is given up this long after its lease's end. */
const GIVE_UP_AFTER_LEASE_MS = 20_000;
const NOTICE_MARGIN_MS = 1_500;
/** A task that should end this soon is not stopped for others. */
const NEARLY_DONE_S = 5;
/** How long a machine may hold up a shard that was taken over before it is returned. */
const HELD_UP_MS = 5_000;
/** Preemption walks over all that runs; what it stops takes seconds to go. So it gets one part in so many of the time. */
const PREEMPT_EVERY_MS = 250;
const PREEMPT_PART = 10;
const CONSOLIDATE_EVERY_MS = 2_000;
/** A task that began so recently is not moved. */
const STAY_S = 10;
/** One that runs past its estimate is expected to go on for this part of what it has run. */
const OVERDUE_GOES_ON = 0.3;
/** Work that is to start within so many boot times is not left to wait for room that comes free. */
const START_IN_BOOTS = 3;

const EPSILON = 1e-6;

/** The decisions of a shard's rounds: which attempts to issue, and which to stop. */
export class Scheduler {
  #cursor = 0;
  #unplaced = new Map<string, number>();
  #complete = false;
  #completeOnce = false;
  #preemptAt = -Infinity;
  #consolidatedAt = -Infinity;

  constructor(
    private readonly shard: Shard,
    private readonly attempts: Attempts,
    private readonly deps: NodeContext,
  ) {}

  get unplaced(): ReadonlyMap<string, number> {
    return this.#unplaced;
  }

  /** What need not be looked at with every message: walks over all machines, on a clock. */
  housekeep(now: number): void {
    this.#countRelayedAsAnswered(now);
    this.#stopBeforeNotices(now);
    this.#eager(now);
    this.#endCancelled(now);
    this.#retire(now);
    if (this.deps.eventLoopDelay.allowsOptimization) this.#consolidate(now);
  }

  /**
   * A cancelled task on a machine that can't be reached is proved gone by returning the machine, also where many are
   * silent at once and taken for a cut of ours, or other nodes relay the leases: a machine that hangs hears neither.
   */
  #endCancelled(now: number): void {
    for (const [, machine] of this.attempts.overdueStops(now)) {
      if (machine.leaving !== undefined || !machine.isSilent(now, this.shard.timing.missedMs)) continue;
      this.deps.log.info({ machine: machine.id }, 'a cancelled task there can not be stopped');
      machine.leaving = 'silent';
    }
  }

  /** Finds room for what waits. True: the time was up before all had their turn. */
  round(now: number): boolean {
    this.attempts.stopSurplus();
    const jobs = this.#waitingJobs(now);
    if (jobs.length === 0) {
      this.#unplaced.clear();
      this.#complete = true;
      this.#completeOnce = true;
      this.#cursor = 0;
      return false;
    }
    const endAt = this.deps.clock.now() + this.deps.settings.throttling.roundBudgetMs;
    const timeIsUp = (): boolean => this.deps.clock.now() > endAt;
    const turns = order(jobs, this.shard.teams);
    const { use, machines, agedCpus } = this.#roomy(jobs, now);
    const agedRuns = this.shard.holdings.agedCpus > 0;
    const from = this.#cursor < turns.length ? this.#cursor : 0;
    const { teams } = this.shard;
    const result = place({ turns, machines, teams, use, agedCpus, agedRuns, from }, timeIsUp);
    for (const placement of result.placements) this.attempts.issue(placement, now);
    if (from === 0) this.#unplaced = result.unplaced;
    else for (const [job, count] of result.unplaced) this.#unplaced.set(job, count);
    this.#cursor = result.cursor ?? 0;
    this.#complete = result.cursor === undefined;
    if (!this.#complete) return true;
    this.#completeOnce = true;
    if (this.#unplaced.size > 0 && now >= this.#preemptAt) {
      this.#preempt(turns, now, timeIsUp);
      const took = this.deps.clock.now() - now;
      this.#preemptAt = now + Math.max(PREEMPT_EVERY_MS, took * PREEMPT_PART);
    }
    return false;
  }

  #waitingJobs(now: number): WaitingJob[] {
    const { shard } = this;
    const allKnown = shard.allKnown;
    const agedMs = this.deps.settings.operator.aged_s * 1000;
    const waiting: WaitingJob[] = [];
    for (const table of shard.tables.values()) {
      shard.updateUrgency(table);
      if (table.unassigned === 0 || !shard.isReady(table) || table.retryAt > now) continue;
      const { job } = table;
      // A task may still be on a machine that we have not heard of since we took the shard. Only a job that was
      // accepted after we took it can't be; what its team may use there is counted against its limit.
      if (!allKnown && table.version <= shard.takenRevision) continue;
      const runS = shard.estimates.runS(job);
      const slackMs = shard.slackMs(table);
      const begun = table.done > 0 || table.issued.size > 0;
      waiting.push({
        job,
        waiting: table.unassigned,
        zones: shard.holdings.zonesOf(job.id),
        slackMs,
        work: table.remaining * job.cpus * runS,
        avoid: table.avoided(now),
        runS,
        // However much that is smaller or more urgent comes in: the oldest get some room out of turn, for otherwise
        // a large job that is late would wait for as long as the surplus lasts.
        aged: shard.ageMs(table) > agedMs && (!begun || slackMs < 0) && !table.suspect,
        begun,
        submittedAt: table.waitingSince,
      });
    }
    return waiting;
  }

  /** Machines with room for the least that waits, what teams use, and what is left for aged work. */
  #roomy(
    jobs: readonly WaitingJob[],
    now: number,
  ): { machines: RoomyMachine[]; use: ReturnType<Shard['use']>; agedCpus: number } {
    const { shard } = this;
    const anyAged = jobs.some((j) => j.aged);
    const least = jobs.reduce((min, { job }) => Math.min(min, job.cpus), Infinity);
    const machines: RoomyMachine[] = [];
    let totalCpus = 0;
    for (const m of shard.machines.values()) {
      if (!shard.usable(m, now)) continue;
      totalCpus += m.type.cpus;
      // For aged work a machine without room may have to be kept clear.
      if (!anyAged && m.freeCpus + 1e-6 < least) continue;
      machines.push({
        ...{ id: m.id, type: m.type, zone: m.record.zone, spot: m.record.spot },
        ...{ free: m.free(), images: m.images, busyForS: this.#busyForS(m, now) },
      });
    }
    const { aged_share } = this.deps.settings.operator;
    return { machines, use: shard.use(), agedCpus: totalCpus * aged_share - shard.holdings.agedCpus };
  }

  #busyForS(machine: Machine, now: number): number {
    let longest = 0;
    for (const attempt of machine.attempts.values()) {
      const table = this.shard.tables.get(attempt.job);
      if (!table || !holdsRoom(attempt) || attempt.stop) continue;
      longest = Math.max(longest, this.shard.estimates.runS(table.job) - ranS(attempt, now), 1);
    }
    return longest;
  }

  /** Whether anything may be stopped for the job at all: of a lower priority, or for its team's guarantee. */
  #mayStopAny(job: Job, use: ReturnType<Shard['use']>): boolean {
    const team = this.shard.teams.get(job.team);
    const used = use.get(job.team)?.cpus ?? 0;
    if (team && team.cpus > 0 && used + job.cpus <= team.cpus + EPSILON) return true;
    for (const { job: other, issued } of this.shard.tables.values()) {
      if (issued.size > 0 && PRIORITY_RANK[other.priority] > PRIORITY_RANK[job.priority]) return true;
    }
    return false;
  }

  #preempt(turns: readonly Turn[], now: number, timeIsUp: () => boolean): void {
    const use = this.shard.use();
    const unplaced = turns
      .filter((turn) => turn.kind === 'usual')
      .map(({ waiting }) => ({ waiting, count: this.#unplaced.get(waiting.job.id) ?? 0 }))
      .filter(({ count, waiting }) => count > 0 && this.#mayStopAny(waiting.job, use));
    // Mostly so: walking over all that runs to find nothing took a tenth of the owner's time (docs/PERFORMANCE.md).
    if (unplaced.length === 0) return;
    const machines: CrowdedMachine[] = [];
    for (const m of this.shard.machines.values()) {
      if (!this.shard.usable(m, now)) continue;
      const tasks = [...m.attempts.values()].flatMap((a) => {
        const job = this.shard.tables.get(a.job)?.job;
        // What was issued a moment ago is left alone: stopping it would only chase tasks about.
        if (!job || !holdsRoom(a) || a.phase === 'sent' || a.aged) return [];
        const ran = ranS(a, now);
        // It will have made room by itself before a stop would pay.
        if (this.shard.estimates.runS(job) - ran < job.saveS + NEARLY_DONE_S && a.runningSince !== undefined)
          return [];
        const { lossS } = stopCost(job, ran);
        return [{ key: a.key, job, lossS, stopping: a.stop !== undefined }];
      });
      const { id, type, record } = m;
      machines.push({ id, type, zone: record.zone, spot: record.spot, free: m.free(), tasks });
    }
    const { victims } = choosePreemptions({ unplaced, machines, teams: this.shard.teams, use }, timeIsUp);
    for (const { key, machine: id } of victims) {
      const machine = this.shard.machines.get(id);
      const attempt = machine?.attempts.get(key);
      if (!machine || !attempt) continue;
      const job = this.shard.tables.get(attempt.job)?.job;
      this.attempts.want(machine, attempt, job ? stopCost(job, ranS(attempt, now)).graceS : 0);
      this.deps.log.debug({ job: attempt.job, task: attempt.task, machine: id }, 'stopped for others');
    }
  }

  #countRelayedAsAnswered(now: number): void {
    if (this.shard.isKept) this.countAllAsAnswered(now);
  }

  /** Some node relays leases, or has until now: any silent worker may have been answered just now. */
  countAllAsAnswered(now: number): void {
    for (const machine of this.shard.machines.values()) {
      if (machine.up) machine.answeredAt = Math.max(machine.answeredAt, now);
    }
  }

  #overdue(now: number): Machine[] {
    return [...this.shard.machines.values()].filter(
      (m) => !(m.settled && m.attempts.size === 0) && now > m.deadAt(this.shard.timing.leaseMs),
    );
  }

  /**
   * Machines whose workers' leases ran out: they have killed and forgotten all they had, for nobody can have answered
   * them since, neither we nor a relay.
   */
  async expire(): Promise<void> {
    // Without the state service nobody can be asked who relays; returning a machine proves its end all the same.
    if (this.deps.store.isUnavailable || this.#overdue(this.deps.clock.now()).length === 0) return;
    if (!(await this.shard.nobodyKeeps())) return;
    // What was kept until a moment ago is in our view by now.
    const now = this.deps.clock.now();
    this.#countRelayedAsAnswered(now);
    for (const machine of this.#overdue(now)) {
      const { id, attempts } = machine;
      this.deps.log.info({ machine: id, attempts: attempts.size }, 'lease of a silent machine ran out');
      this.attempts.dropAll(machine);
    }
  }

  #stopBeforeNotices(now: number): void {
    for (const machine of this.shard.machines.values()) {
      if (machine.noticeUntil === undefined) continue;
      machine.leaving ??= 'notice';
      for (const attempt of machine.attempts.values()) {
        const table = this.shard.tables.get(attempt.job);
        if (!table || attempt.stop || !holdsRoom(attempt)) continue;
        const leftMs = machine.noticeUntil - now;
        const neededMs = (this.shard.estimates.runS(table.job) - ranS(attempt, now)) * 1000;
        const fetching = attempt.phase !== 'running';
        if (!fetching && neededMs < leftMs - NOTICE_MARGIN_MS) continue;
        const { checkpointS, saveS } = table.job;
        const graceS = checkpointS > 0 && !fetching ? saveS : 0;
        // A task that can save works on until just before it must; any other is issued again at once.
        if (graceS > 0 && leftMs > saveS * 1000 + 2 * NOTICE_MARGIN_MS) continue;
        this.attempts.want(machine, attempt, graceS);
      }
    }
  }

  /**
   * Eager scheduling: the tasks of a machine that misses reports are stopped and issued again, into room that no
   * waiting task can use. The stop is confirmed by the worker, by the end of its lease, or by returning the machine.
   */
  #eager(now: number): void {
    const { timing } = this.shard;
    const { candidates, release } = eagerCandidates({
      machines: [...this.shard.machines.values()]
        .filter((m) => m.up && !m.releasing)
        .map((m) => ({
          id: m.id,
          zone: m.record.zone,
          // One that reports but hears nothing is as good as silent.
          heardAt: Math.min(m.heardAt ?? m.firstSeenAt, m.deafSince ?? Infinity),
          busy: m.busy,
          // All that waits in the shard waits for it: it was asked directly, and gave no answer.
          holdsUp: !m.settled && m.unanswered,
        })),
      now,
      missedMs: timing.missedMs,
      releaseMs: timing.silentReleaseMs,
      heldUpMs: HELD_UP_MS,
    });
    for (const id of release) {
      const machine = this.shard.machines.get(id);
      if (machine) machine.leaving ??= 'silent';
    }
    if (candidates.length === 0 || !this.#complete || this.#unplaced.size > 0) return;
    if (!this.deps.eventLoopDelay.allowsOptimization) return;
    const rooms = [...this.shard.machines.values()]
      .filter((m) => this.shard.usable(m, now))
      .map((m) => ({ m, room: m.free() }));
    for (const id of candidates) {
      const machine = this.shard.machines.get(id);
      if (!machine) continue;
      for (const attempt of machine.attempts.values()) {
        const job = this.shard.tables.get(attempt.job)?.job;
        if (!job || attempt.stop || !holdsRoom(attempt)) continue;
        const found = rooms.find(
          ({ m, room }) =>
            fits(job, room) && mayUse(job, { type: m.type, zone: m.record.zone, spot: m.record.spot }),
        );
        if (!found) continue;
        subtractResources(found.room, job);
        this.deps.log.info({ job: job.id, task: attempt.task, machine: id }, 'eager re-issue: stop first');
        this.attempts.want(machine, attempt, job.checkpointS > 0 ? job.saveS : 0);
      }
    }
  }

  /** Tasks of nearly empty machines are saved and go on elsewhere, so that the machines can be returned. */
  #consolidate(now: number): void {
    const { shard } = this;
    if (now - this.#consolidatedAt < CONSOLIDATE_EVERY_MS) return;
    this.#consolidatedAt = now;
    // Not while anything waits for room, which it would take.
    if (!this.#complete || this.#unplaced.size > 0 || !shard.allKnown) return;
    const machines: SparseMachine[] = [];
    let totalCpus = 0;
    for (const m of shard.machines.values()) {
      if (!shard.usable(m, now)) continue;
      totalCpus += m.type.cpus;
      const tasks = [...m.attempts.values()].flatMap((a) => {
        const job = shard.tables.get(a.job)?.job;
        if (!job || !holdsRoom(a)) return [];
        const ran = ranS(a, now);
        const canSave = a.phase === 'running' && !a.stop && job.checkpointS > 0 && ran >= STAY_S;
        const remainingS = Math.max(shard.estimates.runS(job) - ran, ran * OVERDUE_GOES_ON);
        return [{ key: a.key, job, remainingS, canSave }];
      });
      const { id, type, record } = m;
      machines.push({ id, type, zone: record.zone, spot: record.spot, free: m.free(), tasks });
    }
    const warmCpus = totalCpus * this.deps.settings.operator.warm_share;
    for (const { machine: id, tasks } of chooseConsolidation({ machines, warmCpus })) {
      const machine = shard.machines.get(id);
      if (!machine) continue;
      machine.leaving = 'sparse';
      this.deps.log.info({ machine: id, tasks: tasks.length }, 'machine emptied');
      for (const key of tasks) {
        const attempt = machine.attempts.get(key);
        const job = attempt && shard.tables.get(attempt.job)?.job;
        if (job) this.attempts.want(machine, attempt, job.saveS);
      }
    }
  }

  /** Machines that are of no more use. */
  #retire(now: number): void {
    const lateFactor = this.deps.settings.operator.late_boot_factor;
    for (const machine of this.shard.machines.values()) {
      if (machine.leaving !== undefined) continue;
      const lateAt = machine.knownSince + machine.type.bootS * lateFactor * 1000;
      const deadAt = machine.deadAt(this.shard.timing.leaseMs);
      // Within the limit on changes, recording thousands of machines as up takes minutes: those that report aren't late.
      if (!machine.up && !machine.hasReported && now > lateAt) machine.leaving = 'late';
      else if (machine.up && !machine.busy && now > deadAt + GIVE_UP_AFTER_LEASE_MS) {
        machine.leaving = 'silent';
      }
    }
  }

  #longestBootMs(): number {
    return Math.max(0, ...this.deps.types().map((t) => t.bootS)) * 1000;
  }

  fleetInput(refused: (option: RentOption) => boolean): FleetInput | undefined {
    const { shard } = this;
    if (!this.#completeOnce || (!shard.allKnown && this.#unplaced.size === 0)) return undefined;
    const { clock, settings } = this.deps;
    const now = clock.now();
    const machines: FleetMachine[] = [];
    let freeCpus = 0;
    let totalCpus = 0;
    let freeingCpus = 0;
    for (const m of shard.machines.values()) {
      if (m.leaving !== undefined || m.releasing) continue;
      const usable = shard.usable(m, now);
      const idle = m.up && m.attempts.size === 0 && usable;
      machines.push({
        ...{ id: m.id, type: m.type, zone: m.record.zone, spot: m.record.spot, booting: !m.up },
        ageMs: now - m.knownSince,
        idleMs: idle ? now - m.idleSince : 0,
      });
      if (!m.up) continue;
      totalCpus += m.type.cpus;
      if (usable) freeCpus += Math.max(0, m.freeCpus);
      for (const a of m.attempts.values()) {
        const table = shard.tables.get(a.job);
        if (!holdsRoom(a) || !table) continue;
        const endsMs = (shard.estimates.runS(table.job) - ranS(a, now)) * 1000;
        if (endsMs < m.type.bootS * 1000 * settings.operator.rent_patience) freeingCpus += a.needs.cpus;
      }
    }
    const unplaced = [...this.#unplaced].flatMap(([id, count]) => {
      const table = shard.tables.get(id);
      if (!table) return [];
      const startSlackMs = shard.startSlackMs(table);
      // Room that comes free by itself comes too late for what is to start about as soon as a machine can be had.
      const startsSoon = startSlackMs !== undefined && startSlackMs < this.#longestBootMs() * START_IN_BOOTS;
      const urgent = PRIORITY_RANK[table.job.priority] <= PRIORITY_RANK.high || startsSoon;
      const slackMs = shard.slackMs(table);
      return [
        {
          job: table.job,
          count: Math.min(count, table.unassigned),
          urgent,
          slackMs,
          zones: shard.holdings.zonesOf(id),
        },
      ];
    });
    const warmCpus = totalCpus * settings.operator.warm_share;
    const idleReleaseMs = settings.operator.idle_release_s * 1000;
    const types = this.deps.types();
    const allMayStart = shard.allKnown;
    return {
      ...{ unplaced, machines, types, refused, freeingCpus },
      ...{ idleReleaseMs, allMayStart, warmCpus, freeCpus },
    };
  }
}
