/** @file The options of suspicion that hold where an options file only switches it on. */
import { makeSettings } from '../src/base/settings';
import { readSuspicionOptions, type SuspicionOptions } from '../src/suspicion/options';
import { controllerSettings } from './fakes/controller-settings';

/** Reads the defaults, as a controller with a shard lease of 5 s does. */
function readDefaults(): SuspicionOptions {
  const { platform } = controllerSettings(0, {}, 1);
  const options = readSuspicionOptions(makeSettings(platform, { suspicion: { enabled: true } }));
  if (!options) throw new Error('suspicion is off');
  return options;
}

/** The defaults. */
export const DEFAULT_OPTIONS = readDefaults();
