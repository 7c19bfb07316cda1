/** @file The settings and the values derived from them, as `check-config` prints them. */
import { readAdmissionOptions } from '../admission/options';
import type { Settings } from '../base/settings';
import { describeSuspicion } from '../suspicion/options';

/** Formats the settings and derived values as one line of JSON. The settings and this output call shards `blocks`. */
export function summarizeSettings(settings: Settings): string {
  const { node, deployment } = settings.platform;
  const { shards: blocks, ...otherLimits } = settings.throttling;
  return JSON.stringify({
    node,
    teams: deployment.teams.length,
    blockLeaseMs: settings.shardLeaseMs,
    sockets: settings.sockets,
    pace: { blocks, ...otherLimits },
    stateLimits: deployment.state,
    stateLimitsAnnounced: settings.nextStateLimits ?? null,
    admission: readAdmissionOptions(settings) ?? null,
    suspicion: describeSuspicion(settings),
    warnings: settings.warnings,
    options: settings.operator,
  });
}
