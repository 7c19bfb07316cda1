/** @file One-way connections between controllers, over which they send length-prefixed frames. */
import { connect, createServer, type Server, type Socket } from 'node:net';
import { describeError, runLoop, type LoopContext } from '../base/loop';
import type { Log } from '../base/log';

/** The longest frame that is accepted from a peer. */
export const MAX_FRAME_BYTES = 256 * 1024;
const LENGTH_BYTES = 4;
const MAX_QUEUED_BYTES = 1024 * 1024;
/** Peers send a heartbeat every second; a connection without data for this long is closed. */
const IDLE_TIMEOUT_MS = 15_000;
const CONNECT_TIMEOUT_MS = 3_000;
const RECONNECT_PAUSE_MS = 1_000;

/** Reads frames: a length of four bytes, then that many bytes. Throws when a frame exceeds the limit. */
export async function* readFrames(
  source: AsyncIterable<Uint8Array>,
  maxBytes: number,
): AsyncGenerator<Buffer> {
  let buffered: Buffer = Buffer.alloc(0);
  for await (const chunk of source) {
    buffered = buffered.length === 0 ? Buffer.from(chunk) : Buffer.concat([buffered, chunk]);
    while (buffered.length >= LENGTH_BYTES) {
      const length = buffered.readUInt32BE(0);
      // With corrupt data the length could be huge, and the receiver would buffer data without limit.
      if (length > maxBytes) throw new Error(`frame of ${length} bytes exceeds the limit`);
      const end = LENGTH_BYTES + length;
      if (buffered.length < end) break;
      yield buffered.subarray(LENGTH_BYTES, end);
      buffered = buffered.subarray(end);
    }
  }
}

/** Encodes a frame: the length, then the bytes. */
export function writeFrame(bytes: Uint8Array): Buffer {
  const out = Buffer.allocUnsafe(LENGTH_BYTES + bytes.length);
  out.writeUInt32BE(bytes.length, 0);
  out.set(bytes, LENGTH_BYTES);
  return out;
}

/** Called with the content of a frame, and the IP address that it came from. */
export type FrameListener = (bytes: Buffer, sender: string) => void;

/** Receives frames from peers. When a connection delivers corrupt data, only that connection is closed. */
export function listenForPeers(address: string, onFrame: FrameListener, log: Log): Server {
  const server = createServer((socket) => {
    void receiveFrames(socket, onFrame, log);
  });
  const [host, port] = address.split(':');
  server.on('error', (error) => {
    log.error({ err: describeError(error), address }, 'peer listener failed');
  });
  server.listen(Number(port), host);
  return server;
}

async function receiveFrames(socket: Socket, onFrame: FrameListener, log: Log): Promise<void> {
  const sender = socket.remoteAddress ?? 'unknown';
  socket.setNoDelay(true);
  socket.on('error', () => socket.destroy());
  // Without a timeout, the connection of a peer that lost power would never be closed.
  socket.setTimeout(IDLE_TIMEOUT_MS, () => socket.destroy());
  try {
    for await (const bytes of readFrames(socket, MAX_FRAME_BYTES)) onFrame(bytes, sender);
  } catch (error) {
    log.debug({ err: describeError(error) }, 'inbound peer connection failed');
  } finally {
    socket.destroy();
  }
}

/**
 * Sends frames to one peer, best effort: a frame that can't be sent at once is dropped. The peer receives changes of
 * records later from its watch of the key-value store.
 */
export class PeerSender {
  /** Undefined while there is no connection. */
  #socket: Socket | undefined;

  constructor(
    private readonly address: string,
    private readonly context: LoopContext,
  ) {}

  /** Keeps a connection open until the signal is aborted. */
  async run(): Promise<void> {
    await runLoop(`peer ${this.address}`, () => this.#maintainConnection(), this.context);
  }

  /** Sends the bytes as a frame, if there is a connection and its send queue is not full. */
  send(bytes: Uint8Array): void {
    const socket = this.#socket;
    if (socket && socket.writableLength < MAX_QUEUED_BYTES) socket.write(writeFrame(bytes));
  }

  /** Opens a connection, waits until it closes, and pauses before the next one. */
  async #maintainConnection(): Promise<void> {
    const [host, port] = this.address.split(':');
    const socket = connect({ host: host ?? '', port: Number(port) });
    socket.setNoDelay(true);
    try {
      await waitForConnection(socket);
      this.#socket = socket;
      await waitForClose(socket);
    } catch (error) {
      this.context.log.debug(
        { peer: this.address, err: describeError(error) },
        'outbound peer connection failed',
      );
    } finally {
      this.#socket = undefined;
      socket.destroy();
    }
    await this.context.clock.sleep(RECONNECT_PAUSE_MS, this.context.signal);
  }
}

async function waitForConnection(socket: Socket): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    socket.once('connect', resolve);
    socket.once('error', reject);
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => {
      reject(new Error('no connection within 3 s'));
    });
  });
  socket.setTimeout(0);
}

async function waitForClose(socket: Socket): Promise<void> {
  await new Promise<void>((resolve) => {
    socket.once('close', () => {
      resolve();
    });
    socket.on('error', () => socket.destroy());
    // Reads and discards data from the peer: otherwise the end of the connection would not be noticed.
    socket.resume();
  });
}
