/** @file The users of the randomized simulation: they submit, poll and cancel jobs, and send invalid requests. */
import { submission } from '../fakes/submission';
import { CONTROLLERS, type SimulationContext } from './context';
import { RandomDependencies } from './dependency-chains';
import type { UserClient } from './user-client';

/** A job that is never submitted; some submissions name it as a dependency. */
const UNKNOWN_JOB = 'req-300000';
/** A job that is only submitted with an unknown dependency, so that it is always rejected. */
const REFUSED_JOB = 'req-300001';

type Fields = Record<string, unknown>;

interface UserAction {
  readonly weight: number;
  act(id: string): void;
}

interface InvalidRequest {
  readonly weight: number;
  send(unknownId: string, knownId: string): void;
}

/** Executes random actions of the cluster's users. */
export class UserActions {
  readonly #jobs = new Map<string, Fields>();
  readonly #dependencies: RandomDependencies;
  #jobCount = 0;

  readonly #actions: readonly UserAction[] = [
    { weight: 25, act: () => this.#submit() },
    { weight: 35, act: (id) => this.#poll(id, this.context.random.chance(0.3)) },
    { weight: 10, act: (id) => this.#submitAgain(id) },
    { weight: 12, act: (id) => this.cancel(id) },
    { weight: 6, act: () => this.cancelRunning(this.context.random.between(1, 3)) },
    { weight: 4, act: (id) => this.#sendInvalid(id) },
    { weight: 8, act: () => undefined },
  ];

  readonly #invalidRequests: readonly InvalidRequest[] = [
    { weight: 1, send: (id) => this.#requestAtAnyController('GET', `/work/${id}`) },
    { weight: 1, send: (id) => this.#requestAtAnyController('POST', `/work/${id}/withdraw`) },
    { weight: 1, send: (id, known) => this.#submitInvalid(id, known, (field) => ({ [field]: undefined })) },
    { weight: 1, send: (id, known) => this.#submitInvalid(id, known, () => ({ cpus: 5 })) },
  ];

  constructor(
    private readonly context: SimulationContext,
    private readonly client: UserClient,
    seed: number,
  ) {
    this.#dependencies = new RandomDependencies(seed, context.hasDependencies);
  }

  /** Executes one random action. */
  act(): void {
    const { random } = this.context;
    const id = random.pick([...this.#jobs.keys()]);
    const action = random.pickWeighted(this.#actions);
    this.#submitWithUnknownDependency();
    if (id === undefined) this.#submit();
    else action.act(id);
  }

  /** Cancels or polls some jobs within a second after one of their tasks has completed. */
  onTaskCompleted(task: string): void {
    const { context } = this;
    const { random } = context;
    const id = task.split('/')[0] ?? '';
    if (context.isFaultPhaseOver) return;
    if (random.chance(0.1)) {
      context.cluster.clock.after(random.between(0, 900), () => {
        this.cancel(id);
      });
    }
    if (random.chance(0.2)) {
      context.cluster.clock.after(random.between(0, 900), () => {
        this.#poll(id, true);
      });
    }
  }

  /** Cancels a job; polls it at all controllers once the cancellation is confirmed. */
  cancel(id: string): void {
    this.context.note(`${id} is cancelled`);
    void this.client.requestWithRetries('POST', `/work/${id}/withdraw`).then(() => {
      if (!this.context.isFaultPhaseOver) this.#poll(id, true);
    });
  }

  /** Cancels up to `maxJobs` jobs that have running tasks. */
  cancelRunning(maxJobs: number): void {
    const running = new Set(this.context.cluster.runningTasks.map((task) => task.split('/')[0] ?? ''));
    for (const id of [...running].slice(0, maxJobs)) this.cancel(id);
  }

  /** Submits a job whose tasks outlast the time limit of a cancellation at any time; returns the job's id. */
  submitLong(tasks: number): string {
    const { context } = this;
    const id = this.#newId();
    const fields = { pieces: tasks, cpus: 1, crew: 'blue', loaners: true, urgency: 'prod', reckonS: 90 };
    const job = submission(id, fields);
    context.cluster.setRunTime(id, context.random.between(80, 110));
    context.note(`${id} is submitted: ${JSON.stringify(fields)}`);
    void this.client.requestWithRetries('POST', '/work', job).then((isAccepted) => {
      if (isAccepted && !context.isFaultPhaseOver) this.#jobs.set(id, job);
    });
    return id;
  }

  /** Polls a job at every controller, and submits it again at the first controller. */
  pollAndResubmit(id: string): void {
    for (const index of CONTROLLERS) void this.client.request(index, 'GET', `/work/${id}`);
    void this.client.request(0, 'POST', '/work', this.#jobs.get(id));
  }

  #newId(): string {
    this.#jobCount += 1;
    return `req-${this.#jobCount}`;
  }

  #submit(): void {
    const { context } = this;
    const { random } = context;
    const id = this.#newId();
    const fields = this.#randomFields();
    const job = submission(id, fields);
    this.#jobs.set(id, job);
    const isLong = random.chance(0.2);
    context.cluster.setRunTime(id, isLong ? random.between(30, 60) : random.between(1, 10));
    context.note(`${id} is submitted: ${JSON.stringify(fields)}`);
    const isCancelledSoon = random.chance(0.25);
    const afterMs = random.between(0, 15_000);
    void this.client.requestWithRetries('POST', '/work', job).then((isAccepted) => {
      if (!isAccepted || context.isFaultPhaseOver) return;
      this.#poll(id, true);
      if (!isCancelledSoon) return;
      context.cluster.clock.after(afterMs, () => {
        this.cancel(id);
      });
    });
  }

  #randomFields(): Fields {
    const { random } = this.context;
    const spread = random.pick(['together', 'apart', 'any', 'any', 'any']);
    const hasCheckpoints = random.chance(0.4);
    // The fields stay in this order: it determines the order of the draws, and so what a seed repeats.
    return {
      pieces: random.between(1, 4),
      cpus: random.between(1, 2),
      crew: random.pick(['red', 'blue']),
      yard: random.pick(['a', 'b', null, null, null]),
      loaners: random.chance(0.7),
      together: spread === 'together',
      apart: spread === 'apart',
      urgency: random.pick(['prod', 'urgent', 'normal', 'best_effort']),
      reckonS: random.between(1, 30),
      bookmarkS: hasCheckpoints ? 2 : 0,
      stashS: hasCheckpoints ? random.between(0, 3) : 0,
      awaits: this.#dependencies.nextDependencies(this.context.cluster.invariants.acceptedJobs),
    };
  }

  #submitAgain(id: string): void {
    this.context.note(`${id} is submitted again`);
    this.#requestAtAnyController('POST', '/work', this.#jobs.get(id));
  }

  #poll(id: string, isEverywhere: boolean): void {
    const controllers = isEverywhere ? CONTROLLERS : [this.context.anyController()];
    for (const index of controllers) void this.client.request(index, 'GET', `/work/${id}`);
    if (isEverywhere) this.#requestAtAnyController('POST', '/work', this.#jobs.get(id));
  }

  #requestAtAnyController(method: string, path: string, body?: unknown): void {
    void this.client.request(this.context.anyController(), method, path, body);
  }

  #sendInvalid(knownId: string): void {
    const { random } = this.context;
    const unknownId = `req-${random.between(100_000, 200_000)}`;
    random.pickWeighted(this.#invalidRequests).send(unknownId, knownId);
  }

  /** Sends a submission with changed fields that must be rejected; skips changes that leave it valid. */
  #submitInvalid(unknownId: string, knownId: string, change: (field: string) => Fields): void {
    const { context } = this;
    const field = context.random.pick(Object.keys(this.#jobs.get(knownId) ?? {})) ?? '';
    const invalid = submission(unknownId, change(field));
    if (context.cluster.invariants.rejectionReason(invalid) === undefined) return;
    context.note(`an invalid submission: ${JSON.stringify(change(field))}`);
    this.#requestAtAnyController('POST', '/work', invalid);
  }

  /** Sometimes sends a submission that depends on a job that was never submitted. */
  #submitWithUnknownDependency(): void {
    const { context } = this;
    const awaits = this.#dependencies.nextInvalidDependencies(
      context.cluster.invariants.acceptedJobs,
      UNKNOWN_JOB,
    );
    if (awaits === undefined) return;
    const invalid = submission(REFUSED_JOB, { awaits });
    context.note(`a submission names ${awaits.join()}`);
    const index = this.#dependencies.pickController(CONTROLLERS.filter((other) => context.isAlive(other)));
    void this.client.request(index, 'POST', '/work', invalid);
  }
}
