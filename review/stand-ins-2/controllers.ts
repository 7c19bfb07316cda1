/** @file Starts controllers as processes with the command of the deploy file, and starts them again when they end. */
import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { now } from './wire';

/** The settings of a small deployment. */
export interface Deployment {
  readonly zones: readonly string[];
  readonly teams: readonly { readonly name: string; readonly cpus?: number; readonly cpusMax?: number }[];
  readonly objectives: readonly string[];
  readonly timeBoundMs: number;
  readonly workers: { readonly reportS: number; readonly leaseS: number; readonly cancelS: number };
  readonly state: {
    readonly rps: number;
    readonly writeRps: number;
    readonly valueKb: number;
    readonly txnOps: number;
  };
  readonly cloud: { readonly rps: number; readonly listLagS: number };
  readonly quota: { readonly cpu: number; readonly memMb: number; readonly sockets: number };
  /** How long after its end a controller is started again. */
  readonly restartS: number;
}

/** A controller's name and addresses. */
export interface Node {
  readonly name: string;
  readonly bind: string;
  readonly back: string;
}

/** The end of a controller's process that the case didn't ask for. */
export interface UnexpectedEnd {
  readonly node: string;
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
  /** The fatal error that the runtime wrote; empty if there was none. */
  readonly lastWords: string;
}

/** The addresses of the outside services. */
export interface External {
  readonly cloud: string;
  readonly state: string;
}

const DEPLOY_FILE = 'deploy/service.toml';
const MAX_LAST_WORDS = 200;

/** The command of the deploy file, split into a program and its arguments. */
function runCommand(): [string, string[]] {
  const [, run] = /^run = "([^"]+)"$/m.exec(readFileSync(DEPLOY_FILE, 'utf8')) ?? [];
  const [program = '', ...args] = (run ?? '').split(' ');
  if (program === '') throw new Error(`${DEPLOY_FILE} has no run command`);
  return [program, args];
}

const decimal = (value: number): string => (Number.isInteger(value) ? value.toFixed(1) : String(value));

/** The settings file of a controller. */
export function settingsOf(
  node: Node,
  nodes: readonly Node[],
  deployment: Deployment,
  external: External,
): string {
  const { zones, teams, objectives, timeBoundMs, workers, state, cloud, quota } = deployment;
  const areaOf = ({ name }: Node): string =>
    zones[nodes.findIndex((n) => n.name === name) % zones.length] ?? '';
  const others = nodes.filter(({ name }) => name !== node.name);
  return [
    `node = "${node.name}"\narea = "${areaOf(node)}"\nbind = "${node.bind}"\nback = "${node.back}"`,
    ...others.map((o) => `[[others]]\nnode = "${o.name}"\narea = "${areaOf(o)}"\npeer_addr = "${o.back}"`),
    `[external]\ncloud = "${external.cloud}"\nstate = "${external.state}"`,
    `[deployment]\ninitial_size = ${nodes.length}\nzones = ${JSON.stringify(zones)}`,
    `time_bound_ms = ${decimal(timeBoundMs)}`,
    ...teams.map(
      ({ name, cpus = 0, cpusMax = 0 }) =>
        `[[deployment.teams]]\nname = "${name}"\ncpus = ${decimal(cpus)}\ncpus_max = ${decimal(cpusMax)}\n` +
        'gpus = 0.0\ngpus_max = 0.0',
    ),
    ...objectives.map((objective) => `[[deployment.objectives]]\n${objective}`),
    `[deployment.workers]\nreport_s = ${decimal(workers.reportS)}\nlease_s = ${decimal(workers.leaseS)}`,
    `cancel_s = ${decimal(workers.cancelS)}`,
    `[deployment.state]\nrps = ${decimal(state.rps)}\nwrite_rps = ${decimal(state.writeRps)}`,
    `value_kb = ${decimal(state.valueKb)}\ntxn_ops = ${state.txnOps}`,
    `[deployment.cloud]\nrps = ${decimal(cloud.rps)}\nlist_lag_s = ${decimal(cloud.listLagS)}`,
    `[deployment.quota]\ncpu = ${decimal(quota.cpu)}\nmem_mb = ${decimal(quota.memMb)}`,
    `fd_limit = ${quota.sockets}`,
    '',
  ].join('\n');
}

/** The controllers of a deployment. */
export class Controllers {
  readonly #children = new Map<string, ChildProcess>();
  readonly #expectedEnds = new Set<ChildProcess>();
  readonly #ends: UnexpectedEnd[] = [];
  readonly #timers = new Set<NodeJS.Timeout>();
  #isClosed = false;

  constructor(
    private readonly folder: string,
    readonly nodes: readonly Node[],
    private readonly deployment: Deployment,
    external: External,
    private readonly onEnd: (end: UnexpectedEnd) => void,
  ) {
    for (const node of nodes) {
      writeFileSync(this.#settingsFile(node), settingsOf(node, nodes, deployment, external));
    }
  }

  /** The ends that the case didn't ask for, so far. */
  get unexpectedEnds(): readonly UnexpectedEnd[] {
    return this.#ends;
  }

  startAll(): void {
    for (const node of this.nodes) this.start(node);
  }

  /** Starts a controller. */
  start(node: Node): void {
    const [program, args] = runCommand();
    const child = spawn(program, [...args, this.#settingsFile(node)], {
      stdio: ['ignore', 'ignore', 'pipe'],
      env: { ...process.env, LOG_LEVEL: process.env.LOG_LEVEL ?? 'info' },
    });
    this.#children.set(node.name, child);
    const log = createWriteStream(join(this.folder, `${node.name}.log`), { flags: 'a' });
    // The folder of the case may be gone when a process was started just before the end.
    log.on('error', () => undefined);
    let lastWords = '';
    child.stderr.on('data', (bytes: Buffer) => {
      log.write(bytes);
      const fatal = bytes
        .toString()
        .split('\n')
        .find((line) => line.startsWith('FATAL'));
      if (fatal !== undefined) lastWords = fatal.slice(0, MAX_LAST_WORDS);
    });
    child.once('error', (error) => {
      lastWords = String(error);
    });
    child.once('close', (code, signal) => {
      log.end();
      this.#onClose(node, child, { node: node.name, code, signal, lastWords });
    });
  }

  #onClose(node: Node, child: ChildProcess, end: UnexpectedEnd): void {
    if (this.#isClosed) return;
    if (!this.#expectedEnds.delete(child)) {
      this.#ends.push(end);
      this.onEnd(end);
    }
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      if (!this.#isClosed) this.start(node);
    }, this.deployment.restartS * 1000);
    this.#timers.add(timer);
  }

  /** Sends a signal to a controller's process. After SIGKILL it is started again as after any end. */
  signal(name: string, signal: NodeJS.Signals): void {
    const child = this.#children.get(name);
    if (!child) return;
    if (signal === 'SIGKILL') this.#expectedEnds.add(child);
    child.kill(signal);
  }

  /** Ends all processes for good. */
  close(): void {
    this.#isClosed = true;
    for (const timer of this.#timers) clearTimeout(timer);
    for (const child of this.#children.values()) {
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    }
  }

  #settingsFile({ name }: Node): string {
    return join(this.folder, `${name}.toml`);
  }
}

/** Time since a moment, in seconds with one decimal. */
export function secondsSince(from: number): string {
  return ((now() - from) / 1000).toFixed(1);
}
