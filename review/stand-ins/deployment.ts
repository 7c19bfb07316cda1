/** @file A whole deployment on loopback: controllers as processes, and stand-ins for everything around them. */
import { Cloud, type CloudOptions } from './cloud';
import { chooseNodes, Controllers, type Node, type Platform } from './controllers';
import type { RunRecord } from './record';
import { StateService } from './state-service';
import { Users } from './users';
import { closeClient } from './wire';
import type { WorkerWorld } from './worker';

/** What a deployment consists of. */
export interface DeploymentOptions {
  readonly root: string;
  readonly record: RunRecord;
  readonly platform: Platform;
  /** The zone of each controller. */
  readonly controllerZones: readonly string[];
  readonly cloud: Pick<CloudOptions, 'types' | 'capacity' | 'bootMs'>;
  /** The address at which one controller reaches another, if that is not the other's own. */
  readonly peer?: (from: Node, to: Node) => string;
}

/** A running deployment, and where its tasks are. */
export class Deployment {
  /** The machine that each task is on, from when it has its image. */
  readonly machineOf = new Map<string, string>();
  readonly completed = new Set<string>();
  readonly #losses = new Map<string, number>();
  /** Tasks that started on one machine while they were on another. */
  readonly ranTwice: string[] = [];

  private constructor(
    readonly users: Users,
    readonly state: StateService,
    readonly cloud: Cloud,
    readonly controllers: Controllers,
  ) {}

  /** Starts all parts. */
  static async start(options: DeploymentOptions): Promise<Deployment> {
    const { root, record, platform, controllerZones, peer } = options;
    const nodes = await chooseNodes(controllerZones);
    const users = new Users(nodes, record);
    const state = new StateService(platform.state);
    const addresses = new Map<string, string>();
    for (const { name } of nodes) addresses.set(name, await state.open(name));
    const parts: { deployment?: Deployment } = {};
    const world: WorkerWorld = {
      controllers: nodes,
      reportS: platform.workers.reportS,
      leaseS: platform.workers.leaseS,
      job: (id) => users.job(id),
      isCompleted: (task) => parts.deployment?.completed.has(task) ?? false,
      onStarted: (task, machine) => {
        const other = parts.deployment?.machineOf.get(task);
        if (other !== undefined) parts.deployment?.ranTwice.push(`${task} on ${other} and ${machine}`);
        record.add(`worker: ${task} starts on ${machine}${other === undefined ? '' : ` while on ${other}`}`);
        parts.deployment?.machineOf.set(task, machine);
      },
      onLeft: (task, machine, why) => {
        record.add(`worker: ${task} leaves ${machine}: ${why}`);
        if (why === 'done') parts.deployment?.completed.add(task);
        else parts.deployment?.addLoss(task);
        if (parts.deployment?.machineOf.get(task) === machine) parts.deployment.machineOf.delete(task);
      },
      onSession: (machine, session) => {
        record.add(`worker: ${machine} begins session ${session}`);
      },
      onRefused: (machine, status, bytes) => {
        record.add(`worker: a report of ${machine}, ${bytes} bytes as JSON, is answered ${status}`);
      },
    };
    const cloud = new Cloud({
      ...options.cloud,
      rps: platform.cloud.rps,
      listLagS: platform.cloud.listLagS,
      world,
      log: (line) => {
        record.add(line);
      },
    });
    const controllers = new Controllers(root, nodes, {
      platform,
      cloud: await cloud.open(),
      state: (node) => addresses.get(node) ?? '',
      ...(peer === undefined ? {} : { peer }),
    });
    const deployment = new Deployment(users, state, cloud, controllers);
    parts.deployment = deployment;
    for (const { name } of nodes) controllers.start(name);
    return deployment;
  }

  /** How often a task left a machine before it was done. */
  lossesOf(task: string): number {
    return this.#losses.get(task) ?? 0;
  }

  /** Counts that a task left a machine before it was done. */
  addLoss(task: string): void {
    this.#losses.set(task, this.lossesOf(task) + 1);
  }

  /** The controller that holds the lease of a shard, for choosing the target of a fault. */
  holderOf(shard: number): string | undefined {
    return (this.state.peek(`live/lease/${shard}`) as { owner?: string } | undefined)?.owner;
  }

  /** Ends everything that was started. */
  end(): void {
    this.controllers.end();
    this.cloud.close();
    this.state.close();
    closeClient();
  }
}
