/** @file Framed one-way links between controllers. */
import { connect, createServer, type Server, type Socket } from 'node:net';
import type { Clock } from '../base/clock';
import { describeError, runLoop } from '../base/loop';
import type { Log } from '../base/log';

/** Reads frames: a length of four bytes, then that many bytes. Throws when a frame is longer than allowed. */
export async function* readFrames(
  source: AsyncIterable<Uint8Array>,
  maxBytes: number,
): AsyncGenerator<Buffer> {
  let held: Buffer = Buffer.alloc(0);
  for await (const chunk of source) {
    held = held.length === 0 ? Buffer.from(chunk) : Buffer.concat([held, chunk]);
    while (held.length >= 4) {
      const length = held.readUInt32BE(0);
      // Guards against garbled data: a length that no frame has would make this side buffer without end.
      if (length > maxBytes) throw new Error(`a frame of ${length} bytes`);
      if (held.length < 4 + length) break;
      yield held.subarray(4, 4 + length);
      held = held.subarray(4 + length);
    }
  }
}

/** Puts the length before the bytes. */
export function frame(bytes: Uint8Array): Buffer {
  const out = Buffer.allocUnsafe(4 + bytes.length);
  out.writeUInt32BE(bytes.length, 0);
  out.set(bytes, 4);
  return out;
}

/** The longest frame that is accepted from a peer. */
export const MAX_FRAME_BYTES = 256 * 1024;
const MAX_QUEUED_BYTES = 1024 * 1024;
const SILENT_LINK_MS = 15_000;

/** Accepts frames from the other nodes. A peer that sends garbled data loses only its own connection. */
export function listenForPeers(address: string, onFrame: (bytes: Buffer) => void, log: Log): Server {
  const server = createServer((socket) => {
    socket.setNoDelay(true);
    socket.on('error', () => socket.destroy());
    // Peers send every second. Without a timeout, the link of one that lost power would stay open for ever.
    socket.setTimeout(SILENT_LINK_MS, () => socket.destroy());
    void (async () => {
      try {
        for await (const bytes of readFrames(socket, MAX_FRAME_BYTES)) onFrame(bytes);
      } catch (error) {
        log.debug({ err: describeError(error) }, 'a peer connection ended');
      } finally {
        socket.destroy();
      }
    })();
  });
  const [host, port] = address.split(':');
  server.on('error', (error) => {
    log.error({ err: describeError(error), address }, 'the peer port cannot be opened');
  });
  server.listen(Number(port), host);
  return server;
}

/** Sends frames to one other node. Best effort: what can't be sent now is dropped; the watch delivers it later. */
export class PeerSender {
  #socket: Socket | undefined;

  constructor(
    private readonly address: string,
    private readonly deps: { clock: Clock; log: Log; signal: AbortSignal },
  ) {}

  /** Keeps a connection open until the signal. */
  async run(): Promise<void> {
    await runLoop(`peer ${this.address}`, () => this.#once(), this.deps);
  }

  /** Sends the bytes as a frame, if there is a connection with room in its queue. */
  send(bytes: Uint8Array): void {
    const socket = this.#socket;
    if (socket && socket.writableLength < MAX_QUEUED_BYTES) socket.write(frame(bytes));
  }

  async #once(): Promise<void> {
    const [host, port] = this.address.split(':');
    const socket = connect({ host: host ?? '', port: Number(port) });
    socket.setNoDelay(true);
    try {
      await new Promise<void>((resolve, reject) => {
        socket.once('connect', resolve);
        socket.once('error', reject);
        socket.setTimeout(3000, () => {
          reject(new Error('no connection within 3 s'));
        });
      });
      socket.setTimeout(0);
      this.#socket = socket;
      await new Promise<void>((resolve) => {
        socket.once('close', () => {
          resolve();
        });
        socket.on('error', () => socket.destroy());
        socket.resume();
      });
    } catch (error) {
      this.deps.log.debug({ peer: this.address, err: describeError(error) }, 'peer link down');
    } finally {
      this.#socket = undefined;
      socket.destroy();
    }
    await this.deps.clock.sleep(1000, this.deps.signal);
  }
}
