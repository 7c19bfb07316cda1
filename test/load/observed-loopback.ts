/** @file A loopback network that observes which messages of controllers the workers accept. */
import type { HttpCaller } from '../../src/transport/http-client';
import type { RequestHandler } from '../fakes/network';
import { LoopbackNetwork } from './loopback';

/** Notified when a worker accepted a command, or the response to a heartbeat, with a token. */
export type AcceptedMessageObserver = (machine: string, token: number) => void;

/** Reports each message that a worker accepted from the owner of its shard. */
export class ObservedLoopbackNetwork extends LoopbackNetwork {
  constructor(
    private readonly machineAt: (address: string) => string | undefined,
    private readonly onAccepted: AcceptedMessageObserver,
  ) {
    super();
  }

  override attach(address: string, host: RequestHandler): void {
    super.attach(address, async (request) => {
      const response = await host(request);
      const machine = this.machineAt(address);
      const { baton } = (request.body ?? {}) as { baton?: number };
      if (request.path === '/do' && response.status === 200 && machine !== undefined && baton !== undefined) {
        this.onAccepted(machine, baton);
      }
      return response;
    });
  }

  override caller(from?: string): HttpCaller {
    const caller = super.caller();
    return {
      call: async (target, method, path, body, timeoutMs) => {
        const response = await caller.call(target, method, path, body, timeoutMs);
        const { baton } = (response.body ?? {}) as { baton?: number };
        if (path === '/hello' && response.status === 200 && from !== undefined && baton !== undefined) {
          this.onAccepted(from, baton);
        }
        return response;
      },
    };
  }
}
