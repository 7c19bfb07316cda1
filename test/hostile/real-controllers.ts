/** @file Three controllers as real processes, with machines and users on the loopback range, and hostile senders. */
import { connect } from 'node:net';
import * as fc from 'fast-check';
import { codec } from '../../src/protocol/codec';
import { readPeerMessage } from '../../src/protocol/peers';
import { readSubmission } from '../../src/protocol/users';
import { readHeartbeat } from '../../src/protocol/workers';
import { HttpClient, NoResponseError } from '../../src/transport/http-client';
import { writeFrame } from '../../src/transport/peer-link';
import { submission } from '../fakes/submission';
import { TEAMS } from '../load/controllers';
import { realClock } from '../load/loopback';
import { hasEnded, RealDeployment } from '../load/real-deployment';
import { decoderOf } from './decoders';
import { hostileFrame, hostileMessage } from './messages';

const MACHINES = 20;
const SENDERS = 30;
const SENDER_PAUSE_MS = 100;
const JOB_INTERVAL_MS = 1_000;
const JOB = { pieces: 4, cpus: 2, memGb: 2, reckonS: 4 };
/** Users wait this long for a response, repeat a submission for this long, and expect a short job to end within this time. */
const USER_TIMEOUT_MS = 5_000;
const USER_PATIENCE_MS = 60_000;
const MAX_JOB_MS = 120_000;
const POLL_MS = 1_000;
const RETRY_MS = 1_000;
const LONE_SURROGATE = '\ud800';

const REQUEST_KINDS = [
  {
    path: '/work',
    decoder: decoderOf('submission'),
    isMalformed: (bytes: Buffer) => readSubmission(bytes).kind === 'invalid',
  },
  {
    path: '/hello',
    decoder: decoderOf('heartbeat'),
    isMalformed: (bytes: Buffer) => !readHeartbeat(bytes).ok,
  },
];

/** What the run saw. */
export interface HostileLoadResult {
  readonly sent: number;
  readonly frames: number;
  /** Malformed requests by the status of their response; `none` without one. */
  readonly statuses: Readonly<Record<string, number>>;
  readonly submitted: number;
  /** Ordinary jobs that were not accepted, or not done in time. */
  readonly failedJobs: readonly string[];
  /** Controllers that ended, with the last lines of their logs. */
  readonly ended: readonly string[];
}

/** A deployment under hostile and ordinary load for some time. */
export class HostileLoad {
  readonly #deployment: RealDeployment;
  /** Sends bodies as they are. */
  readonly #rawHttp = new HttpClient(
    { encode: (bytes) => bytes as Uint8Array, decode: (bytes) => codec.decode(bytes) },
    { perHost: SENDERS, idle: () => 3 * SENDERS },
    64 * 1024,
  );
  readonly #statuses: Record<string, number> = {};
  readonly #failedJobs: string[] = [];
  #sent = 0;
  #frames = 0;
  #jobs = 0;

  constructor(
    out: string,
    private readonly seed: number,
  ) {
    this.#deployment = new RealDeployment({ out, number: 0, machines: MACHINES, writeRps: '200' });
  }

  /** Runs the load, waits for the jobs, and ends the controllers that are left. */
  async run(seconds: number): Promise<HostileLoadResult> {
    const { processes } = this.#deployment;
    const controllers = processes.startAll(0);
    await processes.waitUntilUp();
    const until = realClock.now() + seconds * 1_000;
    const senders = Array.from({ length: SENDERS }, (_, sender) => this.#sendUntil(until, sender));
    const users: Promise<void>[] = [];
    while (realClock.now() < until) {
      users.push(this.#runUser());
      await realClock.sleep(JOB_INTERVAL_MS);
    }
    await Promise.all([...senders, ...users]);
    const result = {
      sent: this.#sent,
      frames: this.#frames,
      statuses: this.#statuses,
      submitted: this.#jobs,
      failedJobs: this.#failedJobs,
      ended: controllers.filter(hasEnded).map((controller) => this.#deployment.describeEnd(controller)),
    };
    await this.#deployment.close(controllers);
    this.#rawHttp.close();
    return result;
  }

  /** Sends malformed messages to one controller after the other, from one sender. */
  async #sendUntil(until: number, sender: number): Promise<void> {
    for (let round = 0; realClock.now() < until; round += 1) {
      const seed = this.seed * 1_000_000 + sender * 10_000 + round;
      const { nodes } = this.#deployment.processes;
      const node = nodes[round % nodes.length];
      if (!node) return;
      if (sender % 3 === 2) this.#sendFrame(node.back, seed);
      else await this.#sendRequest(node.address, sender % 2, seed, round);
      await realClock.sleep(SENDER_PAUSE_MS);
    }
  }

  async #sendRequest(address: string, kind: number, seed: number, round: number): Promise<void> {
    const requestKind = REQUEST_KINDS[kind];
    if (!requestKind) return;
    const { path, decoder, isMalformed } = requestKind;
    const hostile = hostileMessage(decoder).filter(isMalformed);
    // As in the records: an ordinary submission with a name that isn't valid text.
    const invalidText = codec.encode(submission('req-999999', { build: `img-600${LONE_SURROGATE}` }));
    const isInvalidText = path === '/work' && round % 5 === 0;
    const bytes = isInvalidText ? invalidText : fc.sample(hostile, { seed, numRuns: 1 })[0];
    this.#sent += 1;
    const status = await this.#statusOf(this.#rawHttp, address, path, bytes);
    this.#statuses[status] = (this.#statuses[status] ?? 0) + 1;
  }

  #sendFrame(address: string, seed: number): void {
    const { valid, maxBytes } = decoderOf('peer frame');
    const [frame] = fc.sample(
      hostileFrame(valid, maxBytes).filter((bytes) => !readPeerMessage(bytes)),
      { seed, numRuns: 1 },
    );
    if (!frame) return;
    this.#frames += 1;
    const [host, port] = address.split(':');
    const socket = connect({ host: host ?? '', port: Number(port) });
    socket.on('error', () => socket.destroy());
    socket.end(writeFrame(frame));
  }

  async #statusOf(http: HttpClient, address: string, path: string, body: unknown): Promise<string> {
    try {
      return String((await http.call(address, 'POST', path, body, USER_TIMEOUT_MS)).status);
    } catch (error) {
      if (error instanceof NoResponseError) return 'none';
      throw error;
    }
  }

  /** Submits an ordinary job, and waits until it is done. */
  async #runUser(): Promise<void> {
    this.#jobs += 1;
    const id = `req-${String(this.#jobs).padStart(6, '0')}`;
    this.#deployment.jobProfiles.set(id, { runS: JOB.reckonS, saveS: 0, checkpointS: 0, cpus: JOB.cpus });
    const body = submission(id, { ...JOB, crew: TEAMS[this.#jobs % TEAMS.length] });
    const { http } = this.#deployment.processes;
    const startedAt = realClock.now();
    const isAccepted = (status: string): boolean => status === '200' || status === '201';
    while (!isAccepted(await this.#statusOf(http, this.#deployment.anyAddress(), '/work', body))) {
      if (realClock.now() - startedAt > USER_PATIENCE_MS) {
        this.#failedJobs.push(`${id} was not accepted`);
        return;
      }
      await realClock.sleep(RETRY_MS);
    }
    while (!(await this.#isDone(id))) {
      if (realClock.now() - startedAt > MAX_JOB_MS) {
        this.#failedJobs.push(`${id} is not done`);
        return;
      }
      await realClock.sleep(POLL_MS);
    }
  }

  async #isDone(id: string): Promise<boolean> {
    const response = await this.#deployment.processes.http
      .call(this.#deployment.anyAddress(), 'GET', `/work/${id}`, undefined, USER_TIMEOUT_MS)
      .catch(() => undefined);
    return (response?.body as { standing?: string } | null | undefined)?.standing === 'done';
  }
}
