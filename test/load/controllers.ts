/** @file Starts controllers as real processes on the loopback range, with generated settings files. */
import { spawn, type ChildProcess } from 'node:child_process';
import { mkdirSync, rmSync, writeFileSync } from 'node:fs';
import { performance } from 'node:perf_hooks';
import { codec } from '../../src/protocol/codec';
import { HttpClient } from '../../src/transport/http-client';
import { realClock } from './loopback';

/** The addresses of the fake key-value store and the fake cloud of a deployment. */
export const storeAddress = (deployment = 0): string => `127.2.${deployment}.1:2379`;
export const cloudAddress = (deployment = 0): string => `127.2.${deployment}.2:8443`;
/** The names of the teams in the deployment. */
export const TEAMS = ['red', 'blue', 'green', 'white', 'black', 'grey'];

/** The settings of a deployment that differ between loads. */
export interface DeploymentOptions {
  readonly out: string;
  /** Keeps the addresses of deployments that run at the same time apart. */
  readonly deployment?: number;
  readonly bundle: string;
  readonly flags: readonly string[];
  readonly controllers: number;
  readonly heartbeatS: string;
  readonly writeRps: string;
  readonly cloudRps: string;
  readonly sockets: string;
  readonly classes: readonly string[];
  /** The content of the operators' options file, as TOML. */
  readonly operatorToml?: string;
  readonly isProfiled: boolean;
  /** The address through which a controller reaches a host, when that is not the host's own address. */
  readonly route?: (from: number, to: string) => string;
}

/** A running controller and the directory of its CPU profiles. */
export interface ControllerProcess {
  readonly name: string;
  readonly child: ChildProcess;
  readonly startedAt: number;
  readonly profileDir: string;
}

/** Starts and terminates controllers. Kills all of them when the load's process exits, also after an error. */
export class ControllerProcesses {
  readonly nodes: readonly { name: string; address: string; back: string }[];
  readonly http = new HttpClient(codec, { perHost: 200, idle: () => 200 }, 1 << 20);
  readonly #children = new Set<ChildProcess>();
  readonly #exitHook: string;

  constructor(private readonly options: DeploymentOptions) {
    this.nodes = Array.from({ length: options.controllers }, (_, i) => ({
      name: `node-${i}`,
      address: `127.3.${options.deployment ?? 0}.${i + 1}:8080`,
      back: `127.3.${options.deployment ?? 0}.${i + 1}:8081`,
    }));
    rmSync(options.out, { recursive: true, force: true });
    mkdirSync(options.out, { recursive: true });
    // Node writes the CPU profile only when the process exits normally, so SIGTERM is turned into a normal exit.
    this.#exitHook = `${options.out}/end.cjs`;
    writeFileSync(this.#exitHook, "process.on('SIGTERM', () => process.exit(0));\n");
    process.on('exit', () => {
      for (const child of this.#children) child.kill('SIGKILL');
    });
  }

  /** Starts a controller. `startNumber` counts its starts and keeps their profiles apart. */
  start(index: number, startNumber: number): ControllerProcess {
    const { out, bundle, flags, operatorToml, isProfiled } = this.options;
    const name = this.nodes[index]?.name ?? '';
    const config = `${out}/${name}.toml`;
    writeFileSync(config, this.#settingsOf(index));
    const operatorFile = `${out}/options.toml`;
    if (operatorToml !== undefined) writeFileSync(operatorFile, operatorToml);
    const profileDir = `${out}/${name}-${startNumber}`;
    mkdirSync(profileDir, { recursive: true });
    const profiling = ['--cpu-prof', `--cpu-prof-dir=${profileDir}`, '--cpu-prof-interval=1000'];
    const child = spawn(
      process.execPath,
      [
        ...flags,
        `--require=./${this.#exitHook}`,
        ...(isProfiled ? profiling : []),
        bundle,
        ...(operatorToml === undefined ? [] : ['--options', operatorFile]),
        '--config',
        config,
      ],
      { stdio: ['ignore', 'ignore', 'pipe'] },
    );
    this.#children.add(child);
    child.once('exit', () => this.#children.delete(child));
    child.stderr.on('data', (bytes: Buffer) => {
      writeFileSync(`${out}/${name}.log`, bytes, { flag: 'a' });
    });
    return { name, child, startedAt: performance.now(), profileDir };
  }

  startAll(startNumber: number): ControllerProcess[] {
    return this.nodes.map((_, index) => this.start(index, startNumber));
  }

  /** Suspends a controller's process with SIGSTOP, which the process can't handle, until `unfreeze`. */
  freeze({ child }: ControllerProcess): void {
    child.kill('SIGSTOP');
  }

  /** Resumes a suspended process. */
  unfreeze({ child }: ControllerProcess): void {
    child.kill('SIGCONT');
  }

  /** Kills a controller with SIGKILL, and waits until it has exited. */
  async kill({ child }: ControllerProcess): Promise<void> {
    const ended = new Promise((resolve) => child.once('exit', resolve));
    child.kill('SIGKILL');
    await ended;
  }

  async terminate(controllers: readonly ControllerProcess[]): Promise<void> {
    const exits = controllers.map(
      ({ child }) =>
        new Promise((resolve) => {
          child.once('exit', resolve);
          child.kill('SIGTERM');
        }),
    );
    await Promise.all(exits);
  }

  /** Waits until every controller accepts requests of users. */
  async waitUntilUp(): Promise<void> {
    const waits = this.nodes.map(async ({ address }) => {
      for (;;) {
        const up = await this.http.call(address, 'GET', '/up', undefined, 1000).catch(() => undefined);
        if (up?.status === 200) return;
        await realClock.sleep(20);
      }
    });
    await Promise.all(waits);
  }

  #settingsOf(index: number): string {
    const { classes, heartbeatS, writeRps, cloudRps, sockets, deployment } = this.options;
    const route = (to: string): string => this.options.route?.(index, to) ?? to;
    const own = this.nodes[index];
    const others = this.nodes.filter((n) => n !== own);
    return [
      `node = "${own?.name}"\narea = "a"\nbind = "${own?.address}"\nback = "${own?.back}"`,
      ...others.map((o) => `[[others]]\nnode = "${o.name}"\narea = "a"\npeer_addr = "${route(o.back)}"`),
      `[external]\ncloud = "${cloudAddress(deployment)}"\nstate = "${route(storeAddress(deployment))}"`,
      '[deployment]\nzones = ["a", "b"]\ntime_bound_ms = 100.0',
      ...TEAMS.map((t) => `[[deployment.teams]]\nname = "${t}"`),
      ...classes.map(
        (c) => `[[deployment.objectives]]\nkind = "wait"\nclass = "${c}"\nwithin_s = 5.0\nshare = 0.8`,
      ),
      `[deployment.workers]\nreport_s = ${heartbeatS}\nlease_s = 26.0\ncancel_s = 51.0`,
      `[deployment.state]\nrps = 250.0\nwrite_rps = ${writeRps}\nvalue_kb = 16.0\ntxn_ops = 32`,
      `[deployment.cloud]\nrps = ${cloudRps}\nlist_lag_s = 0.0`,
      `[deployment.quota]\ncpu = 0.34\nmem_mb = 242.0\nfd_limit = ${sockets}`,
    ].join('\n');
  }
}
