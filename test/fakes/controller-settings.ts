/** @file Settings of the controllers in the simulated deployment: addresses, teams, limits and leases. */
import type { Observer } from './network';
import type { Version } from './versions';

export const STORE_ADDRESS = '10.2.0.1:2379';
export const CLOUD_ADDRESS = '10.2.0.2:8443';
export const HEARTBEAT_S = 0.8;
export const LEASE_S = 10;
export const CANCEL_S = 30;

const DEFAULT_CONTROLLERS = 3;

/** Names and addresses of the controllers that a deployment can have; see `controllersOf`. */
export const POSSIBLE_CONTROLLERS = [0, 1, 2, 3, 4].map((index) => ({
  name: `node-${index}`,
  address: `10.0.0.${index + 1}:8080`,
}));

/** Options of a simulated deployment. */
export interface ClusterOptions {
  /** Number of controllers, at most five; three by default. */
  controllers?: number | undefined;
  limitCpus?: number;
  operator?: Record<string, unknown>;
  /** Operator settings by the index of the controller; they replace `operator` for this controller. */
  operators?: Record<string, unknown>[];
  objectives?: { kind: string; class: string }[];
  coreShare?: number;
  /** The heap limit of each controller, in bytes. */
  heapLimitBytes?: number;
  writeRps?: number;
  cloudRps?: number;
  /** Seconds between two heartbeats of a worker. */
  heartbeatS?: number;
  /** Versions that the controllers start with, by index; the present one by default. */
  versions?: Version[];
  /** Announced new limits of the key-value store. The store enforces them once `FakeKeyValueStore.limits` is set. */
  nextLimits?: Record<string, unknown>;
  /** Called for every message, from the start of the deployment. */
  observer?: Observer | undefined;
}

/** Names and addresses of a deployment's controllers. */
export function controllersOf({
  controllers = DEFAULT_CONTROLLERS,
}: ClusterOptions): typeof POSSIBLE_CONTROLLERS {
  return POSSIBLE_CONTROLLERS.slice(0, controllers);
}

/** The settings that a controller reads at its start; `coreShare` is its CPU quota in cores. */
export function controllerSettings(index: number, options: ClusterOptions, coreShare: number) {
  return {
    platform: {
      node: `node-${index}`,
      area: 'a',
      bind: `10.0.0.${index + 1}:8080`,
      back: `10.0.0.${index + 1}:8081`,
      others: controllersOf(options)
        .map((_, other) => other)
        .filter((other) => other !== index)
        .map((other) => ({ node: `node-${other}`, area: 'a', peer_addr: `10.0.0.${other + 1}:8081` })),
      external: { cloud: CLOUD_ADDRESS, state: STORE_ADDRESS },
      deployment: {
        zones: ['a', 'b'],
        teams: [
          { name: 'red', cpus: 8, cpus_max: options.limitCpus ?? 0 },
          { name: 'blue', cpus: 8 },
        ],
        objectives: options.objectives ?? [],
        workers: { report_s: options.heartbeatS ?? HEARTBEAT_S, lease_s: LEASE_S, cancel_s: CANCEL_S },
        state: {
          rps: 200,
          write_rps: options.writeRps ?? 100,
          value_kb: 16,
          txn_ops: 32,
          next: options.nextLimits,
        },
        cloud: { rps: options.cloudRps ?? 5, list_lag_s: 2 },
        quota: { cpu: coreShare },
      },
    },
    operator: options.operators?.[index] ?? options.operator ?? {},
  };
}
