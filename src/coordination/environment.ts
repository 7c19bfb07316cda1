/** @file What a controller is given from outside: clock, randomness, log and connections. */
import type { Clock } from '../base/clock';
import type { Log } from '../base/log';
import type { Random } from '../base/random';
import type { HttpCaller } from '../transport/http-client';

/** Clock, randomness, log and connections that a controller is given. */
export interface Environment {
  clock: Clock;
  /** Steady time at which this process began, in milliseconds. */
  startedAt: number;
  random: Random;
  log: Log;
  /** For calls to the key-value store and the cloud. */
  http: HttpCaller;
  /** For calls to workers. */
  workers: HttpCaller;
  /** Sends a message to all peers; best effort. */
  broadcast(bytes: Uint8Array): void;
}
