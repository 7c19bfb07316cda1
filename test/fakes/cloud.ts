/** @file A fake cloud in memory: it offers one machine type, and rents, lists and releases machines. */
import type { HttpResponse } from '../../src/transport/http-client';
import type { Request } from './network';
import type { MachineDescription } from './task-invariants';
import type { FakeWorker } from './worker';

/** The only machine type, as the cloud API describes it. */
export const MACHINE_TYPE = { label: 'm4', cpus: 4, cards: 0, memGb: 16, yards: ['a', 'b'] };

/** Most machines in a page of the list. */
const MAX_PAGE = 500;

/** The machines that the cloud has rented out. */
export interface Fleet {
  readonly workers: ReadonlyMap<string, FakeWorker>;
  description(id: string): MachineDescription | undefined;
  addWorker(zone: string, isSpot: boolean): string;
}

/** Handles the controllers' requests to the cloud. */
export class FakeCloud {
  /** How many more machines the cloud can rent out. */
  capacity = 8;
  /** Whether responses violate the protocol. */
  sendsMalformedResponses = false;
  /** Ids of the machines by booking. */
  readonly bookings = new Map<string, string[]>();

  constructor(private readonly fleet: Fleet) {}

  handle({ method, path, body }: Request): HttpResponse {
    if (this.sendsMalformedResponses) return { status: 200, body: { hearths: 'many', frames: 7 } };
    if (path === '/flavors') {
      const frame = { ...MACHINE_TYPE, cacheGb: 50, fetchGbPerS: 1, rate: 1, spotPrice: 0.3, bootS: 10 };
      return { status: 200, body: { frames: [frame] } };
    }
    if (path === '/hosts/release') {
      for (const id of (body as { hearths: string[] }).hearths) this.fleet.workers.get(id)?.terminate();
      return { status: 200, body: {} };
    }
    if (method === 'POST')
      return this.#rent(body as { booking: string; yard: string; loaners: boolean; number: number });
    return this.#list(new URL(path, 'http://cloud').searchParams);
  }

  /** A page of the machines, in the order of their ids. */
  #list(query: URLSearchParams): HttpResponse {
    const since = query.get('since') ?? '';
    const limit = Math.min(MAX_PAGE, Number(query.get('limit') ?? MAX_PAGE));
    const listed = [...this.fleet.workers.values()].filter(
      (worker) => !worker.isTerminated && worker.id > since,
    );
    const hearths = listed.slice(0, limit).map((worker) => {
      const machine = this.fleet.description(worker.id);
      return {
        nameId: worker.id,
        endpoint: worker.address,
        frame: machine?.type,
        yard: machine?.zone,
        loaners: machine?.isSpot,
        standing: 'running',
        ageS: 30,
      };
    });
    return { status: 200, body: { hearths, hasNext: listed.length > limit } };
  }

  #rent(r: { booking: string; yard: string; loaners: boolean; number: number }): HttpResponse {
    const existing = this.bookings.get(r.booking);
    if (existing) return { status: 200, body: { hearths: existing } };
    const count = Math.min(r.number, this.capacity);
    if (count === 0) return { status: 503, body: { error: 'no capacity' } };
    this.capacity -= count;
    const ids = Array.from({ length: count }, () => this.fleet.addWorker(r.yard, r.loaners));
    this.bookings.set(r.booking, ids);
    return { status: 200, body: { hearths: ids } };
  }
}
