/** @file The operators' settings of admission: the table `[admission]` of their options file. */
import * as z from 'zod';
import { readOperatorTable } from '../base/operator-table';
import type { Settings } from '../base/settings';
import { effectiveWeights, type TeamGuarantee, type Weights } from './entitlements';

const weight = z.number().positive().max(1e6);

/** The schema of the table `[admission]`. Admission is off if the table is missing or `enabled` is false. */
export const admissionSchema = z.strictObject({
  enabled: z.boolean(),
  /** Overload begins when the accepted work would keep the current fleet busy for longer than this. */
  enter_s: z.number().positive().default(180),
  /** Overload ends when the accepted work would keep the current fleet busy for less than this. */
  leave_s: z.number().positive().default(60),
  /** A fleet that hasn't grown for this long is assumed to have its maximum size. */
  stalled_s: z.number().positive().default(20),
  /** Time between two epochs of an overload. */
  epoch_s: z.number().min(1).max(15).default(5),
  /** Whether spans of submissions are written to the log. */
  trace: z.boolean().default(false),
  class_weights: z.record(z.string(), weight).default({}),
  team_weights: z.record(z.string(), weight).default({}),
});

/** The table `[admission]` after validation. */
export type AdmissionTable = z.infer<typeof admissionSchema>;

/** The options of admission, derived from the operators' table `[admission]`. */
export interface AdmissionOptions {
  readonly enterS: number;
  readonly leaveS: number;
  readonly stalledS: number;
  readonly epochS: number;
  /** Whether spans of submissions are written to the log. */
  readonly isTraced: boolean;
  readonly weights: Weights;
}

/** Reads and checks `[admission]`; undefined when admission is off. Throws `SettingsError` with the file and the key. */
export function readAdmissionOptions(settings: Settings): AdmissionOptions | undefined {
  const { objectives, teams } = settings.platform.deployment;
  const classNames = objectives.map((objective) => objective.class);
  const teamNames = teams.map((team) => team.name);
  const table = readOperatorTable(
    'admission',
    settings,
    admissionSchema,
    (checked) =>
      thresholdProblem(checked) ??
      unknownName('class_weights', checked, classNames) ??
      unknownName('team_weights', checked, teamNames),
  );
  return table?.enabled ? toOptions(table, teams) : undefined;
}

function thresholdProblem({ enter_s, leave_s }: AdmissionTable): string | undefined {
  return leave_s < enter_s ? undefined : 'leave_s: must be smaller than enter_s';
}

function unknownName(
  field: 'class_weights' | 'team_weights',
  table: AdmissionTable,
  known: readonly (string | undefined)[],
): string | undefined {
  const unknown = Object.keys(table[field]).find((name) => !known.includes(name));
  return unknown === undefined ? undefined : `${field}.${unknown}: the settings name no such class or team`;
}

function toOptions(table: AdmissionTable, teams: readonly TeamGuarantee[]): AdmissionOptions {
  const configured = { classes: table.class_weights, teams: table.team_weights };
  return {
    enterS: table.enter_s,
    leaveS: table.leave_s,
    stalledS: table.stalled_s,
    epochS: table.epoch_s,
    isTraced: table.trace,
    weights: effectiveWeights(configured, teams),
  };
}
