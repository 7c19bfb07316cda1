/** @file Starts controllers as separate processes with the command of the deploy file. */
import { spawn, type ChildProcess } from 'node:child_process';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

/** A team of the settings. */
export interface Team {
  readonly name: string;
  readonly cpus: number;
  readonly cpusMax: number;
}

/** The part of the settings that is the same for all controllers. */
export interface Platform {
  readonly zones: readonly string[];
  readonly teams: readonly Team[];
  readonly workers: { readonly reportS: number; readonly leaseS: number; readonly cancelS: number };
  readonly state: {
    readonly rps: number;
    readonly writeRps: number;
    readonly valueKb: number;
    readonly txnOps: number;
  };
  readonly cloud: { readonly rps: number; readonly listLagS: number };
  readonly quota: { readonly cpu: number; readonly memMb: number; readonly fdLimit: number };
}

/** A controller: its name, its zone and its addresses. */
export interface Node {
  readonly name: string;
  readonly zone: string;
  readonly address: string;
  readonly back: string;
}

const HOST = '127.0.0.1';

/** Below the ports that systems give to outgoing connections, one of which could take a port before it is used. */
const PORTS = { first: 12_000, count: 18_000 };
const MAX_TRIES = 50;

function isFree(port: number): Promise<boolean> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, HOST, () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}

async function freePort(): Promise<number> {
  for (let attempt = 0; attempt < MAX_TRIES; attempt += 1) {
    const port = PORTS.first + Math.floor(PORTS.count * Math.random());
    if (await isFree(port)) return port;
  }
  throw new Error('no free port');
}

/** Chooses free ports for controllers, one zone each. */
export async function chooseNodes(zones: readonly string[]): Promise<Node[]> {
  const nodes: Node[] = [];
  for (const [index, zone] of zones.entries()) {
    const address = `${HOST}:${await freePort()}`;
    nodes.push({ name: `hearth-${index}`, zone, address, back: `${HOST}:${await freePort()}` });
  }
  return nodes;
}

/** The program and its arguments of `run` in the deploy file; the settings file follows them. */
function runCommand(root: string): string[] {
  const line = /^run = (".*")$/m.exec(readFileSync(join(root, 'deploy/service.toml'), 'utf8'))?.[1];
  if (line === undefined) throw new Error('deploy/service.toml names no command');
  return (JSON.parse(line) as string).split(/\s+/);
}

const decimal = (value: number): string => (Number.isInteger(value) ? `${value}.0` : String(value));

/** The processes of a deployment, in a temporary folder. */
export class Controllers {
  readonly #folder = mkdtempSync(join(tmpdir(), 'review-'));
  readonly #children = new Map<string, ChildProcess>();
  /** Unexpected ends of processes. */
  readonly ends: string[] = [];
  /** The settings with which controllers are started from now on. */
  platform: Platform;

  constructor(
    private readonly root: string,
    readonly nodes: readonly Node[],
    private readonly settings: {
      readonly platform: Platform;
      readonly cloud: string;
      state(node: string): string;
      /** The address at which `from` reaches the controller `to`. */
      peer?(from: Node, to: Node): string;
    },
  ) {
    this.platform = settings.platform;
    process.on('exit', () => {
      this.end();
    });
  }

  /** Starts a controller. */
  start(name: string): void {
    const node = this.nodes.find((other) => other.name === name);
    if (!node || this.#children.has(name)) throw new Error(`${name} is not known or runs already`);
    const file = join(this.#folder, `${name}.toml`);
    writeFileSync(file, this.#toml(node));
    const [program = '', ...args] = runCommand(this.root);
    const child = spawn(program, [...args, file], {
      cwd: this.root,
      env: { ...process.env, LOG_LEVEL: process.env.LOG_LEVEL ?? 'info' },
      stdio: ['ignore', 'ignore', 'pipe'],
    });
    this.#children.set(name, child);
    child.stderr.on('data', (bytes: Buffer) => {
      appendFileSync(join(this.#folder, 'log'), bytes);
    });
    child.once('exit', (code, signal) => {
      if (this.#children.get(name) !== child) return;
      this.#children.delete(name);
      this.ends.push(`${name} ended: ${signal ?? code}`);
    });
  }

  /** Kills a controller's process. */
  async kill(name: string): Promise<void> {
    const child = this.#children.get(name);
    this.#children.delete(name);
    if (!child) return;
    const ended = new Promise((resolve) => child.once('exit', resolve));
    child.kill('SIGKILL');
    await ended;
  }

  /** Sends a signal to a controller's process. */
  signal(name: string, signal: 'SIGSTOP' | 'SIGCONT'): void {
    this.#children.get(name)?.kill(signal);
  }

  /** What the controllers have logged so far. */
  log(): string {
    try {
      return readFileSync(join(this.#folder, 'log'), 'utf8');
    } catch {
      return '';
    }
  }

  /** Kills all controllers and removes the temporary folder. */
  end(): void {
    for (const child of this.#children.values()) child.kill('SIGKILL');
    this.#children.clear();
    rmSync(this.#folder, { recursive: true, force: true });
  }

  #toml(node: Node): string {
    const { platform } = this;
    const { cloud, state, peer } = this.settings;
    const { workers, state: limits, quota } = platform;
    const others = this.nodes.filter((other) => other !== node);
    return [
      `node = "${node.name}"\narea = "${node.zone}"\nbind = "${node.address}"\nback = "${node.back}"`,
      ...others.map(
        (other) =>
          `[[others]]\nnode = "${other.name}"\narea = "${other.zone}"\npeer_addr = "${peer?.(node, other) ?? other.back}"`,
      ),
      `[external]\ncloud = "${cloud}"\nstate = "${state(node.name)}"`,
      `[deployment]\ninitial_size = ${this.nodes.length}\nzones = [${platform.zones.map((z) => `"${z}"`).join(', ')}]\ntime_bound_ms = 5.0`,
      ...platform.teams.map(
        (team) =>
          `[[deployment.teams]]\nname = "${team.name}"\ncpus = ${decimal(team.cpus)}\ncpus_max = ${decimal(team.cpusMax)}\ngpus = 0.0\ngpus_max = 0.0`,
      ),
      `[deployment.workers]\nreport_s = ${decimal(workers.reportS)}\nlease_s = ${decimal(workers.leaseS)}\ngang_wait_s = 35.0\ngang_peer_s = 6.0\ncancel_s = ${decimal(workers.cancelS)}`,
      `[deployment.state]\nrps = ${decimal(limits.rps)}\nwrite_rps = ${decimal(limits.writeRps)}\nvalue_kb = ${decimal(limits.valueKb)}\ntxn_ops = ${limits.txnOps}`,
      `[deployment.cloud]\nrps = ${decimal(platform.cloud.rps)}\nlist_lag_s = ${decimal(platform.cloud.listLagS)}`,
      `[deployment.quota]\ncpu = ${decimal(quota.cpu)}\nmem_mb = ${decimal(quota.memMb)}\nfd_limit = ${quota.fdLimit}`,
      '',
    ].join('\n');
  }
}
