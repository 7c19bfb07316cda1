/**
 * @file What the scenario of the samples needs of the sources that it is run with. test/formats/make-samples.ts replaces
 * this file in the sources of the production version, which have the same under other names.
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

/** The change that a message notifies of. */
export function changeOf(message: PeerMessage | undefined): ChangeEvent | undefined {
  return message?.kind === 'change notification' ? message.event : undefined;
}
