/** @file The default options of suspicion, which apply if the operator's settings only enable it. */
import { makeSettings } from '../src/base/settings';
import { readSuspicionOptions, type SuspicionOptions } from '../src/suspicion/options';
import { controllerSettings } from './fakes/controller-settings';

/** Reads the default options as a controller with a shard lease of 5 s does. */
function readDefaults(): SuspicionOptions {
  const { platform } = controllerSettings(0, {}, 1);
  const options = readSuspicionOptions(makeSettings(platform, { suspicion: { enabled: true } }));
  if (!options) throw new Error('suspicion is off');
  return options;
}

export const DEFAULT_OPTIONS = readDefaults();
