/** @file A stand-in for the cloud: rents machines up to a capacity, boots them, lists them with a lag, and deletes them. */
import { now, sleep, type WireAnswer, type WireRequest } from './wire';
import { Worker, type Site, type WorkerOptions } from './worker';

/** A machine type, and how many machines of it there are in each zone: on demand and as spot machines. */
export interface MachineType {
  readonly label: string;
  readonly cpus: number;
  readonly memGb: number;
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  readonly rate: number;
  readonly spotPrice: number;
  /** Nominal boot time. */
  readonly bootS: number;
  readonly capacity: Readonly<Record<string, { readonly ordinary: number; readonly spot: number }>>;
}

/** The cloud's types, its lag, and what the workers on its machines need. */
export interface CloudOptions {
  readonly types: readonly MachineType[];
  readonly listLagS: number;
  readonly rps: number;
  readonly worker: Pick<WorkerOptions, 'reportS' | 'leaseS' | 'controllers' | 'nextTally' | 'laterFields'>;
  readonly site: Site;
  /** Waits until the machine with this number comes up; may return its port. By default about the nominal boot time. */
  readonly boot?: ((number: number) => Promise<number | undefined>) | undefined;
}

interface Machine {
  readonly id: string;
  readonly type: MachineType;
  readonly yard: string;
  readonly loaners: boolean;
  readonly rentedAt: number;
  readonly worker: Worker;
  upAt: number | undefined;
  goneAt: number | undefined;
}

interface Rental {
  readonly booking: string;
  readonly frame: string;
  readonly yard: string;
  readonly loaners: boolean;
  readonly number: number;
}

const MAX_RENTED = 50;
const MAX_LISTED = 500;
const MAX_RELEASED = 100;
const BAD_REQUEST: WireAnswer = { status: 400, body: { error: 'malformed' } };

/** The cloud. */
export class Cloud {
  readonly #machines = new Map<string, Machine>();
  readonly #bookings = new Map<string, string[]>();
  #tokens: number;
  #refilledAt = now();

  constructor(private readonly options: CloudOptions) {
    this.#tokens = 2 * options.rps;
  }

  /** The machines that are rented now. */
  get rented(): number {
    return [...this.#machines.values()].filter(({ goneAt }) => goneAt === undefined).length;
  }

  /** The machines whose workers are up now. */
  get up(): number {
    return [...this.#machines.values()].filter(
      ({ upAt, goneAt }) => upAt !== undefined && goneAt === undefined,
    ).length;
  }

  /** Ends all machines. */
  close(): void {
    for (const machine of this.#machines.values()) this.#remove(machine);
  }

  handle({ method, path, query, body }: WireRequest): WireAnswer {
    if (!this.#takeToken()) return { status: 429, body: { error: 'rate' } };
    if (path === '/flavors') return { status: 200, body: { frames: this.options.types.map(describe) } };
    if (path === '/hosts/release') return this.#release((body as { hearths: string[] }).hearths);
    if (path === '/hosts' && method === 'POST') return this.#rent(body as Rental);
    if (path === '/hosts') return this.#list(query);
    return BAD_REQUEST;
  }

  #takeToken(): boolean {
    const at = now();
    const { rps } = this.options;
    this.#tokens = Math.min(2 * rps, this.#tokens + ((at - this.#refilledAt) / 1000) * rps);
    this.#refilledAt = at;
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }

  #rent({ booking, frame, yard, loaners, number }: Rental): WireAnswer {
    const known = this.#bookings.get(booking);
    if (known) return { status: 200, body: { hearths: known } };
    const type = this.options.types.find(({ label }) => label === frame);
    const capacity = type?.capacity[yard];
    if (!type || !capacity || !(number >= 1 && number <= MAX_RENTED)) return BAD_REQUEST;
    const used = [...this.#machines.values()].filter(
      (machine) =>
        machine.goneAt === undefined &&
        machine.type === type &&
        machine.yard === yard &&
        machine.loaners === loaners,
    ).length;
    const count = Math.min(number, (loaners ? capacity.spot : capacity.ordinary) - used);
    if (count <= 0) return { status: 503, body: { error: 'no capacity' } };
    const hearths = Array.from({ length: count }, () => this.#boot(type, yard, loaners));
    this.#bookings.set(booking, hearths);
    return { status: 200, body: { hearths } };
  }

  #boot(type: MachineType, yard: string, loaners: boolean): string {
    const { worker: settings, site } = this.options;
    const id = `host-${String(this.#machines.size + 1).padStart(6, '0')}`;
    const { label: frame, cpus, memGb, fetchGbPerS } = type;
    const worker = new Worker({ id, frame, yard, loaners, cpus, memGb, fetchGbPerS, ...settings }, site);
    const rentedAt = now();
    const machine: Machine = {
      id,
      type,
      yard,
      loaners,
      rentedAt,
      worker,
      upAt: undefined,
      goneAt: undefined,
    };
    this.#machines.set(id, machine);
    void this.#bringUp(machine, this.#machines.size);
    return id;
  }

  async #bringUp(machine: Machine, number: number): Promise<void> {
    const { boot } = this.options;
    const port = boot
      ? await boot(number)
      : await sleep(machine.type.bootS * 1000 * (0.6 + 0.9 * Math.random())).then(() => undefined);
    if (machine.goneAt !== undefined) return;
    machine.upAt = now();
    await machine.worker.start(port);
  }

  /** Takes a spot machine back without a notice, and returns the port that its worker had. */
  take(id: string): number {
    const machine = this.#machines.get(id);
    const port = Number(machine?.worker.address?.split(':')[1]);
    if (machine) this.#remove(machine);
    return port;
  }

  #release(names: readonly string[]): WireAnswer {
    if (names.length > MAX_RELEASED) return BAD_REQUEST;
    for (const name of names) {
      const machine = this.#machines.get(name);
      if (machine) this.#remove(machine);
    }
    return { status: 200, body: {} };
  }

  #remove(machine: Machine): void {
    if (machine.goneAt !== undefined) return;
    machine.goneAt = now();
    machine.worker.stop();
  }

  #list(query: URLSearchParams): WireAnswer {
    const since = query.get('since') ?? '';
    const limit = Math.min(MAX_LISTED, Number(query.get('limit') ?? MAX_LISTED));
    const at = now() - this.options.listLagS * 1000;
    const listed = [...this.#machines.values()].filter(
      ({ id, rentedAt, goneAt }) => id > since && rentedAt <= at && (goneAt === undefined || goneAt > at),
    );
    const hearths = listed.slice(0, limit).map(({ id, type, yard, loaners, rentedAt, worker, upAt }) => ({
      nameId: id,
      endpoint: worker.address ?? '',
      frame: type.label,
      yard,
      loaners,
      standing: upAt !== undefined && upAt <= at ? 'running' : 'starting',
      ageS: (at - rentedAt) / 1000,
    }));
    return { status: 200, body: { hearths, hasNext: listed.length > limit } };
  }
}

function describe({ capacity, ...type }: MachineType): Record<string, unknown> {
  return { ...type, cards: 0, yards: Object.keys(capacity) };
}
