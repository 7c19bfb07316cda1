/**
 * @file The parts of the sources that the samples' scenario uses and that differ in name between the versions.
 * test/formats/make-samples.ts replaces this file when the scenario runs with the production version's sources.
 */
import type { Controller } from '../../src/coordination/controller';
import type { ChangeEvent } from '../../src/protocol/key-value-store';
import type { PeerMessage } from '../../src/protocol/peers';
import type { ControllerProcess } from '../fakes/deployment';

export { SimulatedCluster } from '../fakes/simulated-cluster';

/** The controller of a process. */
export function controllerOf(process: ControllerProcess): Controller {
  return process.controller;
}

/** The change event that a peer message contains, if any. */
export function changeOf(message: PeerMessage | undefined): ChangeEvent | undefined {
  return message?.kind === 'change notification' ? message.event : undefined;
}
