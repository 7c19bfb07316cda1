/** @file Three controllers as real processes under the flags of the deploy file, with a store, a cloud and machines. */
import { readFileSync } from 'node:fs';
import { FakeKeyValueStore } from '../fakes/key-value-store';
import type { JobProfile } from '../fakes/worker';
import { deployFlags } from '../hostile/deploy-flags';
import { cloudAddress, ControllerProcesses, storeAddress, type ControllerProcess } from './controllers';
import { LoadCloud } from './load-cloud';
import { LoopbackNetwork, realClock } from './loopback';

const CONTROLLERS = 3;
const LEASE_S = 26;
const HEARTBEAT_S = 3;
/** Machines of a deployment have numbers of their own, and so addresses of their own. */
const MACHINE_NUMBERS_PER_DEPLOYMENT = 100_000;
const LOG_LINES = 12;

/** What differs between deployments. */
export interface RealDeploymentOptions {
  readonly out: string;
  /** Keeps the addresses of deployments that run at the same time apart. */
  readonly number: number;
  readonly machines: number;
  readonly writeRps: string;
}

/** A deployment of real processes. */
export class RealDeployment {
  readonly processes: ControllerProcesses;
  readonly cloud: LoadCloud;
  readonly store = new FakeKeyValueStore(realClock);
  /** How the tasks of each job run. */
  readonly jobProfiles = new Map<string, JobProfile>();
  readonly #network = new LoopbackNetwork();

  constructor(private readonly options: RealDeploymentOptions) {
    const { out, number, machines, writeRps } = options;
    this.processes = new ControllerProcesses({
      out,
      deployment: number,
      bundle: 'target/main.js',
      flags: deployFlags(),
      controllers: CONTROLLERS,
      heartbeatS: String(HEARTBEAT_S),
      writeRps,
      cloudRps: '10',
      sockets: '2500',
      classes: ['batch'],
      isProfiled: false,
    });
    this.cloud = new LoadCloud({
      maxMachines: machines,
      firstMachine: number * MACHINE_NUMBERS_PER_DEPLOYMENT,
      bootMs: 1_000,
      workers: { controllers: this.processes.nodes, heartbeatS: HEARTBEAT_S, leaseS: LEASE_S },
      clock: realClock,
      network: this.#network,
      jobProfile: (job) => this.jobProfiles.get(job),
    });
    this.#network.attach(storeAddress(number), (request) => this.store.handle(request));
    this.#network.attach(cloudAddress(number), this.cloud.handle);
  }

  /** The address of any controller. */
  anyAddress(): string {
    const { nodes } = this.processes;
    return nodes[Math.floor(Math.random() * nodes.length)]?.address ?? '';
  }

  /** How a controller ended, with the last lines of its log. */
  describeEnd({ name, child }: ControllerProcess): string {
    const lines = this.logOf(name).trimEnd().split('\n');
    const end = child.signalCode ?? String(child.exitCode);
    return [`${name} ended with ${end}`, ...lines.slice(-LOG_LINES)].join('\n');
  }

  /** The log of a controller, of all its starts. */
  logOf(name: string): string {
    return readFileSync(`${this.options.out}/${name}.log`, 'utf8');
  }

  /** Ends those of the controllers that still run, and all machines. */
  async close(controllers: readonly ControllerProcess[]): Promise<void> {
    await this.processes.terminate(controllers.filter((controller) => !hasEnded(controller)));
    for (const { worker } of this.cloud.machines.values()) worker.terminate();
    this.#network.close();
  }
}

/** Whether a controller's process has ended. */
export function hasEnded({ child }: ControllerProcess): boolean {
  return child.exitCode !== null || child.signalCode !== null;
}
