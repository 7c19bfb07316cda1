import { PRIORITY_RANK, subtractResources, type Job } from '../../protocol/model';
import type { AttemptManager } from '../shard/attempt-manager';
import type { Shard } from '../shard/shard';
import { chooseConsolidation, type ConsolidationCandidate } from './consolidation';
import type { ControllerContext } from '../controller-context';
import { eagerCandidates } from './eager';
import type { ScalingInput, FleetMachine, InstanceOption } from '../autoscaling/scaling-plan';
import { occupiesResources, elapsedS, type Machine } from '../shard/machine';
import {
  fitsInto,
  isEligible,
  orderQueue,
  placeTasks,
  type PlacementCandidate,
  type QueueEntry,
  type WaitingJob,
} from './placement';
import { choosePreemptions, evictionCost, type PreemptionCandidate } from './preemption';

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
    private readonly attempts: AttemptManager,
    private readonly context: ControllerContext,
  ) {}

  get unplaced(): ReadonlyMap<string, number> {
    return this.#unplaced;
  }

  /** What need not be looked at with every message: walks over all machines, on a clock. */
  runPeriodicTasks(now: number): void {
    this.#countRelayedAsAnswered(now);
    this.#stopBeforeNotices(now);
    this.#eager(now);
    this.#endCancelled(now);
    this.#retire(now);
    if (this.context.eventLoopDelay.allowsOptimization) this.#consolidate(now);
  }

  /**
   * A cancelled task on a machine that can't be reached is proved gone by returning the machine, also where many are
   * silent at once and taken for a cut of ours, or other nodes relay the leases: a machine that hangs hears neither.
   */
  #endCancelled(now: number): void {
    for (const [, machine] of this.attempts.overdueEvictions(now)) {
      if (
        machine.drainReason !== undefined ||
        !machine.hasMissedHeartbeats(now, this.shard.timing.heartbeatTimeoutMs)
      )
        continue;
      this.context.log.info({ machine: machine.id }, 'cancelled task cannot be stopped: machine unreachable');
      machine.drainAsUnresponsive();
    }
  }

  /** Finds room for what waits. True: the time was up before all had their turn. */
  round(now: number): boolean {
    this.attempts.evictSurplus();
    const jobs = this.#waitingJobs(now);
    if (jobs.length === 0) {
      this.#unplaced.clear();
      this.#complete = true;
      this.#completeOnce = true;
      this.#cursor = 0;
      return false;
    }
    const endAt = this.context.clock.now() + this.context.settings.throttling.roundBudgetMs;
    const timeIsUp = (): boolean => this.context.clock.now() > endAt;
    const turns = orderQueue(jobs, this.shard.teams);
    const { use, machines, agedCpus } = this.#roomy(jobs, now);
    const agedRuns = this.shard.usage.boostedCpus > 0;
    const from = this.#cursor < turns.length ? this.#cursor : 0;
    const { teams } = this.shard;
    const result = placeTasks(
      {
        queue: turns,
        machines,
        quotas: teams,
        usage: use,
        boostedCpusLeft: agedCpus,
        hasBoostedTasks: agedRuns,
        cursor: from,
      },
      timeIsUp,
    );
    for (const placement of result.placements) this.attempts.issue(placement, now);
    if (from === 0) this.#unplaced = result.unplaced;
    else for (const [job, count] of result.unplaced) this.#unplaced.set(job, count);
    this.#cursor = result.cursor ?? 0;
    this.#complete = result.cursor === undefined;
    if (!this.#complete) return true;
    this.#completeOnce = true;
    if (this.#unplaced.size > 0 && now >= this.#preemptAt) {
      this.#preempt(turns, now, timeIsUp);
      const took = this.context.clock.now() - now;
      this.#preemptAt = now + Math.max(PREEMPT_EVERY_MS, took * PREEMPT_PART);
    }
    return false;
  }

  #waitingJobs(now: number): WaitingJob[] {
    const { shard } = this;
    const allKnown = shard.areAllMachinesConfirmed;
    const agedMs = this.context.settings.operator.aged_s * 1000;
    const waiting: WaitingJob[] = [];
    for (const table of shard.tables.values()) {
      shard.updateUrgency(table);
      if (table.unassigned === 0 || !shard.areDependenciesDone(table) || table.retryAt > now) continue;
      const { job } = table;
      // A task may still be on a machine that we have not heard of since we took the shard. Only a job that was
      // accepted after we took it can't be; what its team may use there is counted against its limit.
      if (!allKnown && table.version <= shard.acquiredRevision) continue;
      const runS = shard.runTimes.runS(job);
      const slackMs = shard.slackMs(table);
      const begun = table.done > 0 || table.issued.size > 0;
      waiting.push({
        job,
        waitingTasks: table.unassigned,
        zones: shard.usage.zonesOf(job.id),
        slackMs,
        remainingCpuS: table.remaining * job.cpus * runS,
        machinesToAvoid: table.machinesToAvoid(now),
        runS,
        // However much that is smaller or more urgent comes in: the oldest get some room out of turn, for otherwise
        // a large job that is late would wait for as long as the surplus lasts.
        isBoosted: shard.ageMs(table) > agedMs && (!begun || slackMs < 0) && !table.isJobSuspect,
        hasStarted: begun,
        submittedAt: table.waitingSince,
      });
    }
    return waiting;
  }

  /** Machines with room for the least that waits, what teams use, and what is left for aged work. */
  #roomy(
    jobs: readonly WaitingJob[],
    now: number,
  ): { machines: PlacementCandidate[]; use: ReturnType<Shard['usageByTeam']>; agedCpus: number } {
    const { shard } = this;
    const anyAged = jobs.some((j) => j.isBoosted);
    const least = jobs.reduce((min, { job }) => Math.min(min, job.cpus), Infinity);
    const machines: PlacementCandidate[] = [];
    let totalCpus = 0;
    for (const m of shard.machines.values()) {
      if (!shard.isSchedulable(m, now)) continue;
      totalCpus += m.type.cpus;
      // For aged work a machine without room may have to be kept clear.
      if (!anyAged && m.freeCpus + 1e-6 < least) continue;
      machines.push({
        ...{ id: m.id, type: m.type, zone: m.record.zone, spot: m.record.spot },
        ...{ free: m.freeResources(), cachedImages: m.cachedImages, busyForS: this.#busyForS(m, now) },
      });
    }
    const { aged_share } = this.context.settings.operator;
    return { machines, use: shard.usageByTeam(), agedCpus: totalCpus * aged_share - shard.usage.boostedCpus };
  }

  #busyForS(machine: Machine, now: number): number {
    let longest = 0;
    for (const attempt of machine.attempts.values()) {
      const table = this.shard.tables.get(attempt.job);
      if (!table || !occupiesResources(attempt) || attempt.eviction) continue;
      longest = Math.max(longest, this.shard.runTimes.runS(table.job) - elapsedS(attempt, now), 1);
    }
    return longest;
  }

  /** Whether anything may be stopped for the job at all: of a lower priority, or for its team's guarantee. */
  #mayStopAny(job: Job, use: ReturnType<Shard['usageByTeam']>): boolean {
    const team = this.shard.teams.get(job.team);
    const used = use.get(job.team)?.cpus ?? 0;
    if (team && team.cpus > 0 && used + job.cpus <= team.cpus + EPSILON) return true;
    for (const { job: other, issued } of this.shard.tables.values()) {
      if (issued.size > 0 && PRIORITY_RANK[other.priority] > PRIORITY_RANK[job.priority]) return true;
    }
    return false;
  }

  #preempt(turns: readonly QueueEntry[], now: number, timeIsUp: () => boolean): void {
    const use = this.shard.usageByTeam();
    const unplaced = turns
      .filter((turn) => turn.kind === 'regular')
      .map(({ waiting }) => ({ waiting, count: this.#unplaced.get(waiting.job.id) ?? 0 }))
      .filter(({ count, waiting }) => count > 0 && this.#mayStopAny(waiting.job, use));
    // Mostly so: walking over all that runs to find nothing took a tenth of the owner's time (docs/PERFORMANCE.md).
    if (unplaced.length === 0) return;
    const machines: PreemptionCandidate[] = [];
    for (const m of this.shard.machines.values()) {
      if (!this.shard.isSchedulable(m, now)) continue;
      const tasks = [...m.attempts.values()].flatMap((a) => {
        const job = this.shard.tables.get(a.job)?.job;
        // What was issued a moment ago is left alone: stopping it would only chase tasks about.
        if (!job || !occupiesResources(a) || a.phase === 'starting' || a.isBoosted) return [];
        const ran = elapsedS(a, now);
        // It will have made room by itself before a stop would pay.
        if (this.shard.runTimes.runS(job) - ran < job.saveS + NEARLY_DONE_S && a.runningSince !== undefined)
          return [];
        const { lossS } = evictionCost(job, ran);
        return [{ key: a.key, job, lossS, isBeingEvicted: a.eviction !== undefined }];
      });
      const { id, type, record } = m;
      machines.push({ id, type, zone: record.zone, spot: record.spot, free: m.freeResources(), tasks });
    }
    const { victims } = choosePreemptions(
      { unplaced, machines, quotas: this.shard.teams, usage: use },
      timeIsUp,
    );
    for (const { key, machine: id } of victims) {
      const machine = this.shard.machines.get(id);
      const attempt = machine?.attempts.get(key);
      if (!machine || !attempt) continue;
      const job = this.shard.tables.get(attempt.job)?.job;
      this.attempts.evict(machine, attempt, job ? evictionCost(job, elapsedS(attempt, now)).graceS : 0);
      this.context.log.debug({ job: attempt.job, task: attempt.task, machine: id }, 'task preempted');
    }
  }

  #countRelayedAsAnswered(now: number): void {
    if (this.shard.isRelayed) this.assumeAllLeasesRenewed(now);
  }

  /** Some node relays leases, or has until now: any silent worker may have been answered just now. */
  assumeAllLeasesRenewed(now: number): void {
    for (const machine of this.shard.machines.values()) {
      if (machine.isUp) machine.assumeAnswered(now);
    }
  }

  #overdue(now: number): Machine[] {
    return [...this.shard.machines.values()].filter(
      (m) => !(m.isConfirmed && m.attempts.size === 0) && now > m.leaseExpiresAt(this.shard.timing.leaseMs),
    );
  }

  /**
   * Machines whose workers' leases ran out: they have killed and forgotten all they had, for nobody can have answered
   * them since, neither we nor a relay.
   */
  async expireLeases(): Promise<void> {
    // Without the state service nobody can be asked who relays; returning a machine proves its end all the same.
    if (this.context.store.isUnavailable || this.#overdue(this.context.clock.now()).length === 0) return;
    if (!(await this.shard.confirmNotRelayed())) return;
    // What was kept until a moment ago is in our view by now.
    const now = this.context.clock.now();
    this.#countRelayedAsAnswered(now);
    for (const machine of this.#overdue(now)) {
      const { id, attempts } = machine;
      this.context.log.info({ machine: id, attempts: attempts.size }, 'worker lease expired');
      this.attempts.dropAllAttempts(machine);
    }
  }

  #stopBeforeNotices(now: number): void {
    for (const machine of this.shard.machines.values()) {
      if (machine.spotNoticeDeadline === undefined) continue;
      machine.drain('spot notice');
      for (const attempt of machine.attempts.values()) {
        const table = this.shard.tables.get(attempt.job);
        if (!table || attempt.eviction || !occupiesResources(attempt)) continue;
        const leftMs = machine.spotNoticeDeadline - now;
        const neededMs = (this.shard.runTimes.runS(table.job) - elapsedS(attempt, now)) * 1000;
        const fetching = attempt.phase !== 'running';
        if (!fetching && neededMs < leftMs - NOTICE_MARGIN_MS) continue;
        const { checkpointS, saveS } = table.job;
        const graceS = checkpointS > 0 && !fetching ? saveS : 0;
        // A task that can save works on until just before it must; any other is issued again at once.
        if (graceS > 0 && leftMs > saveS * 1000 + 2 * NOTICE_MARGIN_MS) continue;
        this.attempts.evict(machine, attempt, graceS);
      }
    }
  }

  /**
   * Eager scheduling: the tasks of a machine that misses reports are stopped and issued again, into room that no
   * waiting task can use. The stop is confirmed by the worker, by the end of its lease, or by returning the machine.
   */
  #eager(now: number): void {
    const { timing } = this.shard;
    const { candidates, toReturn } = eagerCandidates({
      machines: [...this.shard.machines.values()]
        .filter((m) => m.isUp && !m.isReturnRequested)
        .map((m) => ({
          id: m.id,
          zone: m.record.zone,
          // One that reports but hears nothing is as good as silent.
          lastHeartbeatAt: Math.min(m.lastHeartbeatAt ?? m.firstSeenAt, m.unresponsiveSince ?? Infinity),
          isBusy: m.isBusy,
          // All that waits in the shard waits for it: it was asked directly, and gave no answer.
          blocksShard: !m.isConfirmed && m.isLastCommandUnanswered,
        })),
      now,
      heartbeatTimeoutMs: timing.heartbeatTimeoutMs,
      returnAfterMs: timing.unresponsiveReturnMs,
      shardBlockedMs: HELD_UP_MS,
    });
    for (const id of toReturn) {
      const machine = this.shard.machines.get(id);
      if (machine) machine.drain('unresponsive');
    }
    if (candidates.length === 0 || !this.#complete || this.#unplaced.size > 0) return;
    if (!this.context.eventLoopDelay.allowsOptimization) return;
    const rooms = [...this.shard.machines.values()]
      .filter((m) => this.shard.isSchedulable(m, now))
      .map((m) => ({ m, room: m.freeResources() }));
    for (const id of candidates) {
      const machine = this.shard.machines.get(id);
      if (!machine) continue;
      for (const attempt of machine.attempts.values()) {
        const job = this.shard.tables.get(attempt.job)?.job;
        if (!job || attempt.eviction || !occupiesResources(attempt)) continue;
        const found = rooms.find(
          ({ m, room }) =>
            fitsInto(job, room) &&
            isEligible(job, { type: m.type, zone: m.record.zone, spot: m.record.spot }),
        );
        if (!found) continue;
        subtractResources(found.room, job);
        this.context.log.info(
          { job: job.id, task: attempt.task, machine: id },
          'eager re-issue: evicting first',
        );
        this.attempts.evict(machine, attempt, job.checkpointS > 0 ? job.saveS : 0);
      }
    }
  }

  /** Tasks of nearly empty machines are saved and go on elsewhere, so that the machines can be returned. */
  #consolidate(now: number): void {
    const { shard } = this;
    if (now - this.#consolidatedAt < CONSOLIDATE_EVERY_MS) return;
    this.#consolidatedAt = now;
    // Not while anything waits for room, which it would take.
    if (!this.#complete || this.#unplaced.size > 0 || !shard.areAllMachinesConfirmed) return;
    const machines: ConsolidationCandidate[] = [];
    let totalCpus = 0;
    for (const m of shard.machines.values()) {
      if (!shard.isSchedulable(m, now)) continue;
      totalCpus += m.type.cpus;
      const tasks = [...m.attempts.values()].flatMap((a) => {
        const job = shard.tables.get(a.job)?.job;
        if (!job || !occupiesResources(a)) return [];
        const ran = elapsedS(a, now);
        const canCheckpoint = a.phase === 'running' && !a.eviction && job.checkpointS > 0 && ran >= STAY_S;
        const remainingS = Math.max(shard.runTimes.runS(job) - ran, ran * OVERDUE_GOES_ON);
        return [{ key: a.key, job, remainingS, canCheckpoint }];
      });
      const { id, type, record } = m;
      machines.push({ id, type, zone: record.zone, spot: record.spot, free: m.freeResources(), tasks });
    }
    const warmCpus = totalCpus * this.context.settings.operator.warm_share;
    for (const { machine: id, tasks } of chooseConsolidation({ machines, warmCpus })) {
      const machine = shard.machines.get(id);
      if (!machine) continue;
      machine.drain('underused');
      this.context.log.info({ machine: id, tasks: tasks.length }, 'draining underused machine');
      for (const key of tasks) {
        const attempt = machine.attempts.get(key);
        const job = attempt && shard.tables.get(attempt.job)?.job;
        if (job) this.attempts.evict(machine, attempt, job.saveS);
      }
    }
  }

  /** Machines that are of no more use. */
  #retire(now: number): void {
    const lateFactor = this.context.settings.operator.late_boot_factor;
    for (const machine of this.shard.machines.values()) {
      if (machine.drainReason !== undefined) continue;
      const lateAt = machine.knownSince + machine.type.bootS * lateFactor * 1000;
      const deadAt = machine.leaseExpiresAt(this.shard.timing.leaseMs);
      // Within the limit on changes, recording thousands of machines as up takes minutes: those that report aren't late.
      if (!machine.isUp && !machine.hasSentHeartbeat && now > lateAt) machine.drain('late boot');
      else if (machine.isUp && !machine.isBusy && now > deadAt + GIVE_UP_AFTER_LEASE_MS) {
        machine.drain('unresponsive');
      }
    }
  }

  #longestBootMs(): number {
    return Math.max(0, ...this.context.types().map((t) => t.bootS)) * 1000;
  }

  scalingInput(refused: (option: InstanceOption) => boolean): ScalingInput | undefined {
    const { shard } = this;
    if (!this.#completeOnce || (!shard.areAllMachinesConfirmed && this.#unplaced.size === 0))
      return undefined;
    const { clock, settings } = this.context;
    const now = clock.now();
    const machines: FleetMachine[] = [];
    let freeCpus = 0;
    let totalCpus = 0;
    let freeingCpus = 0;
    for (const m of shard.machines.values()) {
      if (m.drainReason !== undefined || m.isReturnRequested) continue;
      const usable = shard.isSchedulable(m, now);
      const idle = m.isUp && m.attempts.size === 0 && usable;
      machines.push({
        ...{ id: m.id, type: m.type, zone: m.record.zone, spot: m.record.spot, booting: !m.isUp },
        ageMs: now - m.knownSince,
        idleMs: idle ? now - m.idleSince : 0,
      });
      if (!m.isUp) continue;
      totalCpus += m.type.cpus;
      if (usable) freeCpus += Math.max(0, m.freeCpus);
      for (const a of m.attempts.values()) {
        const table = shard.tables.get(a.job);
        if (!occupiesResources(a) || !table) continue;
        const endsMs = (shard.runTimes.runS(table.job) - elapsedS(a, now)) * 1000;
        if (endsMs < m.type.bootS * 1000 * settings.operator.rent_patience) freeingCpus += a.resources.cpus;
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
          zones: shard.usage.zonesOf(id),
        },
      ];
    });
    const warmCpus = totalCpus * settings.operator.warm_share;
    const idleReleaseMs = settings.operator.idle_release_s * 1000;
    const types = this.context.types();
    const allMayStart = shard.areAllMachinesConfirmed;
    return {
      ...{ unplaced, machines, types, isBackedOff: refused, freeingCpus },
      ...{ idleReleaseMs, mayAllStart: allMayStart, warmCpus, freeCpus },
    };
  }
}
