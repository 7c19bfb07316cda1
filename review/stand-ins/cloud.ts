/** @file A stand-in for the cloud: types, rentals, releases and a lagging list, as the protocol page describes them. */
import { performance } from 'node:perf_hooks';
import { Worker, type MachineInfo, type WorkerWorld } from './worker';
import { WireServer, type WireReply, type WireRequest } from './wire';

/** A machine type that the cloud offers. */
export interface OfferedType {
  readonly label: string;
  readonly cpus: number;
  readonly memoryGb: number;
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  readonly rate: number;
  readonly spotPrice: number;
  readonly bootS: number;
  readonly zones: readonly string[];
}

/** The offer and the limits of the cloud. */
export interface CloudOptions {
  readonly types: readonly OfferedType[];
  /** Machines that can be rented at the same time, for each type, zone and kind. */
  capacity(type: string, zone: string, isSpot: boolean): number;
  readonly rps: number;
  readonly listLagS: number;
  /** How long a new machine takes to come up. */
  bootMs(): number;
  readonly world: WorkerWorld;
  log(line: string): void;
}

interface RentalRequest {
  readonly booking: string;
  readonly frame: string;
  readonly yard: string;
  readonly loaners: boolean;
  readonly number: number;
}

interface Rented {
  readonly worker: Worker;
  readonly rentedAt: number;
  isUp: boolean;
  goneAt?: number;
}

const MAX_RENTED_AT_ONCE = 50;
const MAX_PAGE = 500;

/** Rents out machines, each with a worker. */
export class Cloud {
  readonly machines = new Map<string, Rented>();
  readonly #bookings = new Map<string, string[]>();
  readonly #server: WireServer;
  #count = 0;
  #tokens: number;
  #refilledAt = performance.now();

  constructor(private readonly options: CloudOptions) {
    this.#tokens = 2 * options.rps;
    this.#server = new WireServer((request) => this.#handle(request));
  }

  /** Opens the cloud's address. */
  open(): Promise<string> {
    return this.#server.listen();
  }

  /** Closes the cloud and all workers. */
  close(): void {
    this.#server.close();
    for (const { worker } of this.machines.values()) worker.close();
  }

  /** The workers of the machines that are up. */
  up(): Worker[] {
    return [...this.machines.values()].filter((m) => m.isUp && m.goneAt === undefined).map((m) => m.worker);
  }

  /** Takes a machine back; it gets no notice. */
  take(id: string): void {
    this.#remove(id, 'taken back');
  }

  #remove(id: string, why: string): void {
    const machine = this.machines.get(id);
    if (!machine || machine.goneAt !== undefined) return;
    machine.goneAt = performance.now();
    machine.worker.vanish(why);
    this.options.log(`cloud: ${id} is ${why}`);
  }

  #takeToken(): boolean {
    const now = performance.now();
    const { rps } = this.options;
    this.#tokens = Math.min(2 * rps, this.#tokens + ((now - this.#refilledAt) / 1000) * rps);
    this.#refilledAt = now;
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }

  async #handle({ method, path, query, body }: WireRequest): Promise<WireReply> {
    if (!this.#takeToken()) return { status: 429 };
    if (path === '/flavors') return { status: 200, body: { frames: this.#frames() } };
    if (path === '/hosts/release' && method === 'POST') {
      for (const id of (body as { hearths: string[] }).hearths) this.#remove(id, 'released');
      return { status: 200 };
    }
    if (path === '/hosts' && method === 'POST') return this.#rent(body as RentalRequest);
    if (path === '/hosts') return this.#list(query);
    return { status: 400 };
  }

  #frames(): unknown[] {
    return this.options.types.map((type) => ({
      label: type.label,
      cpus: type.cpus,
      cards: 0,
      memGb: type.memoryGb,
      cacheGb: type.cacheGb,
      fetchGbPerS: type.fetchGbPerS,
      rate: type.rate,
      spotPrice: type.spotPrice,
      bootS: type.bootS,
      yards: type.zones,
    }));
  }

  async #rent(request: RentalRequest): Promise<WireReply> {
    const { booking, frame, yard, loaners, number } = request;
    const known = this.#bookings.get(booking);
    if (known) return { status: 200, body: { hearths: known } };
    const type = this.options.types.find(({ label }) => label === frame);
    if (!type || number > MAX_RENTED_AT_ONCE) return { status: 400 };
    const rented = [...this.machines.values()].filter(
      ({ goneAt, worker: { machine } }) =>
        goneAt === undefined && machine.type === frame && machine.zone === yard && machine.isSpot === loaners,
    ).length;
    const count = Math.min(number, this.options.capacity(frame, yard, loaners) - rented);
    if (count <= 0) return { status: 503, body: { error: 'no capacity' } };
    const ids: string[] = [];
    for (let index = 0; index < count; index += 1) {
      this.#count += 1;
      const id = `host-${String(this.#count).padStart(6, '0')}`;
      ids.push(id);
      const { cpus, memoryGb, fetchGbPerS } = type;
      await this.#boot({ id, type: frame, zone: yard, isSpot: loaners, cpus, memoryGb, fetchGbPerS });
    }
    this.#bookings.set(booking, ids);
    this.options.log(`cloud: ${ids.join(' ')} rented (${frame}, ${yard}, ${loaners ? 'spot' : 'ordinary'})`);
    return { status: 200, body: { hearths: ids } };
  }

  async #boot(info: MachineInfo): Promise<void> {
    const worker = new Worker(info, this.options.world);
    const machine: Rented = { worker, rentedAt: performance.now(), isUp: false };
    this.machines.set(info.id, machine);
    await worker.open();
    setTimeout(() => {
      if (machine.goneAt !== undefined) return;
      machine.isUp = true;
      worker.start();
    }, this.options.bootMs());
  }

  /** The machines as they were `listLagS` ago. */
  #list(query: URLSearchParams): WireReply {
    const since = query.get('since') ?? '';
    const limit = Math.min(MAX_PAGE, Number(query.get('limit') ?? MAX_PAGE));
    const asOf = performance.now() - this.options.listLagS * 1000;
    const listed = [...this.machines]
      .filter(([id, m]) => id > since && m.rentedAt <= asOf && (m.goneAt === undefined || m.goneAt > asOf))
      .sort(([a], [b]) => (a < b ? -1 : 1));
    const hearths = listed.slice(0, limit).map(([id, { worker, rentedAt, isUp }]) => ({
      nameId: id,
      endpoint: worker.endpoint,
      frame: worker.machine.type,
      yard: worker.machine.zone,
      loaners: worker.machine.isSpot,
      standing: isUp ? 'running' : 'starting',
      ageS: (asOf - rentedAt) / 1000,
    }));
    return { status: 200, body: { hearths, hasNext: listed.length > limit } };
  }
}
