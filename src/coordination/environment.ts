/** @file The environment of a controller. */
import type { Clock } from '../base/clock';
import type { Log } from '../base/log';
import type { Random } from '../base/random';
import type { RefusedMessages } from '../base/refused-messages';
import type { HttpCaller } from '../transport/http-client';

/** Clock, randomness, log and connections that are injected into a controller. */
export interface Environment {
  clock: Clock;
  /** Monotonic time at which this process started, in milliseconds. */
  startedAt: number;
  random: Random;
  /** The size that the heap of this process may have, in bytes. */
  heapLimitBytes: number;
  log: Log;
  /** Counts the messages that this process refuses. */
  refusedMessages: RefusedMessages;
  /** For calls to the key-value store and the cloud. */
  http: HttpCaller;
  /** For calls to workers. */
  workers: HttpCaller;
  /** Sends a message to all peers; best effort. */
  broadcast(bytes: Uint8Array): void;
}
