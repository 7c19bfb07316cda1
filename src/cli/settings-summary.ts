/** @file What follows from the settings, as `check-config` prints it. */
import { readAdmissionOptions } from '../admission/options';
import type { Settings } from '../base/settings';
import { describeSuspicion } from '../suspicion/options';

/** The settings and what follows from them, as one line of JSON. Settings and this output name shards `blocks`. */
export function summarizeSettings(settings: Settings): string {
  const { node, deployment } = settings.platform;
  const { shards: blocks, ...pace } = settings.throttling;
  return JSON.stringify({
    node,
    teams: deployment.teams.length,
    blockLeaseMs: settings.shardLeaseMs,
    sockets: settings.sockets,
    pace: { blocks, ...pace },
    stateLimits: deployment.state,
    stateLimitsAnnounced: settings.nextStateLimits ?? null,
    admission: readAdmissionOptions(settings) ?? null,
    suspicion: describeSuspicion(settings),
    warnings: settings.warnings,
    options: settings.operator,
  });
}
