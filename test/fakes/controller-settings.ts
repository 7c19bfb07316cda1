/** @file The settings of the controllers in memory: addresses, teams, limits and leases. */
import type { Observer } from './network';
import type { Version } from './versions';

export const STORE_ADDRESS = '10.2.0.1:2379';
export const CLOUD_ADDRESS = '10.2.0.2:8443';
export const HEARTBEAT_S = 0.8;
export const LEASE_S = 10;
export const CANCEL_S = 30;

const DEFAULT_CONTROLLERS = 3;

/** Names and addresses of the controllers that a deployment may have; `nodesOf` has those that exist. */
export const POSSIBLE_CONTROLLERS = [0, 1, 2, 3, 4].map((index) => ({
  name: `node-${index}`,
  address: `10.0.0.${index + 1}:8080`,
}));

/** What differs between the deployments of scenarios. */
export interface ClusterOptions {
  /** How many controllers there are, up to five; three where nothing is said. */
  controllers?: number | undefined;
  limitCpus?: number;
  operator?: Record<string, unknown>;
  /** An operator's settings of single controllers, instead of those of all. */
  operators?: Record<string, unknown>[];
  objectives?: { kind: string; class: string }[];
  coreShare?: number;
  writeRps?: number;
  cloudRps?: number;
  /** Seconds between two reports of a worker. */
  heartbeatS?: number;
  /** The versions that the controllers start with; the present one where there is none. */
  versions?: Version[];
  /** Limits of the state service that the settings announce; see `FakeStateService.limits` for their coming into force. */
  nextLimits?: Record<string, unknown>;
  /** Called for every message from the start on. */
  observer?: Observer | undefined;
}

/** The controllers of a deployment. */
export function controllersOf({
  controllers = DEFAULT_CONTROLLERS,
}: ClusterOptions): typeof POSSIBLE_CONTROLLERS {
  return POSSIBLE_CONTROLLERS.slice(0, controllers);
}

/** What a controller reads at its start; `coreShare` is its share of a core. */
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
