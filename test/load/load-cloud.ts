/** @file A fake cloud with the published protocol, for loads on real processes. */
import type { TimerClock } from '../fakes/clock';
import type { Network, Request } from '../fakes/network';
import type { HttpResponse } from '../../src/transport/http-client';
import { FakeWorker, type TaskObserver, type WorkerSettings } from '../fakes/worker';

const CPUS = 16;
const TYPE = { label: 'm16', cpus: CPUS, cards: 0, memGb: 32, cacheGb: 50, fetchGbPerS: 1 };
const SPOT_SHARE = 0.6;
/** The maximum number of machines in a page of the list. */
const MAX_PAGE_SIZE = 500;
/** The actual boot time differs from the published one by up to this fraction of it. */
const BOOT_SPREAD = 0.3;

/** A machine that is rented. */
export interface RentedMachine {
  readonly worker: FakeWorker;
  readonly isSpot: boolean;
  readonly rentedAt: number;
}

/** The capacity of the cloud, and the services that its machines use. */
export interface LoadCloudOptions {
  /** Spot and on-demand machines together. */
  readonly maxMachines: number;
  /** The number of the first machine, by which it has its address. */
  readonly firstMachine?: number;
  readonly bootMs: number;
  readonly workers: WorkerSettings;
  readonly clock: TimerClock;
  readonly network: Network;
  readonly jobProfile: TaskObserver['jobProfile'];
  /** Observes the tasks on the machines. */
  readonly tasks?: Partial<TaskObserver>;
}

/** A request to rent machines, with the field names of the wire protocol. */
interface RentalRequest {
  booking: string;
  yard: string;
  loaners: boolean;
  number: number;
}

/** Rents out machines whose workers send heartbeats to the controllers. */
export class LoadCloud {
  readonly machines = new Map<string, RentedMachine>();
  readonly #bookings = new Map<string, string[]>();
  #machineCount: number;

  constructor(private readonly options: LoadCloudOptions) {
    this.#machineCount = options.firstMachine ?? 0;
  }

  handle = ({ method, path, body }: Request): HttpResponse => {
    if (path === '/flavors') return this.#types();
    if (path === '/hosts/release') return this.#release((body as { hearths: string[] }).hearths);
    if (method === 'POST') return this.#rent(body as RentalRequest);
    return this.#list(new URL(path, 'http://cloud').searchParams.get('since') ?? '');
  };

  #types(): HttpResponse {
    const bootS = this.options.bootMs / 1000;
    const frame = { ...TYPE, rate: 1, spotPrice: 0.3, bootS, yards: ['a', 'b'] };
    return { status: 200, body: { frames: [frame] } };
  }

  #release(ids: readonly string[]): HttpResponse {
    for (const id of ids) {
      this.machines.get(id)?.worker.terminate();
      this.machines.delete(id);
    }
    return { status: 200, body: {} };
  }

  #list(since: string): HttpResponse {
    const rest = [...this.machines].filter(([id]) => id > since);
    const hearths = rest.slice(0, MAX_PAGE_SIZE).map(([id, { worker, isSpot, rentedAt }]) => ({
      nameId: id,
      endpoint: worker.address,
      frame: TYPE.label,
      yard: worker.zone,
      loaners: isSpot,
      standing: 'running',
      ageS: (this.options.clock.now() - rentedAt) / 1000,
    }));
    return { status: 200, body: { hearths, hasNext: rest.length > MAX_PAGE_SIZE } };
  }

  #rent({ booking, yard, loaners, number }: RentalRequest): HttpResponse {
    const existing = this.#bookings.get(booking);
    if (existing) return { status: 200, body: { hearths: existing } };
    const rented = [...this.machines.values()].filter(({ isSpot }) => isSpot === loaners).length;
    const share = loaners ? SPOT_SHARE : 1 - SPOT_SHARE;
    const left = Math.floor(this.options.maxMachines * share) - rented;
    const count = Math.min(number, left);
    if (count <= 0) return { status: 503, body: { error: 'no capacity' } };
    const ids = Array.from({ length: count }, () => this.#boot(yard, loaners));
    this.#bookings.set(booking, ids);
    return { status: 200, body: { hearths: ids } };
  }

  #boot(zone: string, isSpot: boolean): string {
    const { clock, network, workers, bootMs, jobProfile, tasks } = this.options;
    this.#machineCount += 1;
    const number = this.#machineCount;
    const id = `host-${String(number).padStart(6, '0')}`;
    const address = `127.${16 + (number >> 14)}.${(number >> 7) & 127}.${(number & 127) + 1}:9000`;
    // Loads don't check the invariants; the scenario tests do.
    const observer: TaskObserver = {
      jobProfile,
      onTaskStarted: () => undefined,
      onTaskLeft: () => undefined,
      onTaskCompleted: () => undefined,
      hasCompleted: () => false,
      ...tasks,
    };
    const machine = { id, address, type: TYPE.label, zone, isSpot, cpus: CPUS };
    const worker = new FakeWorker(machine, workers, { clock, network, tasks: observer });
    this.machines.set(id, { worker, isSpot, rentedAt: clock.now() });
    setTimeout(
      () => {
        if (!worker.isTerminated) worker.start();
      },
      bootMs * (1 - BOOT_SPREAD + 2 * BOOT_SPREAD * Math.random()),
    );
    return id;
  }
}
