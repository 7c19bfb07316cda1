/** @file The admission settings of operators, and traces of admission decisions. */
import assert from 'node:assert/strict';
import { after, test } from 'node:test';
import { context, trace } from '@opentelemetry/api';
import { InMemorySpanExporter } from '@opentelemetry/sdk-trace-base';
import { parse } from 'smol-toml';
import { readFileSync } from 'node:fs';
import { initialEpoch } from '../src/admission/epoch';
import { readAdmissionOptions } from '../src/admission/options';
import { traceDecision, traceSubmission } from '../src/admission/tracing';
import { makeSettings, type Settings } from '../src/base/settings';
import { SettingsError } from '../src/base/settings-schema';
import { LogSpanExporter, startTracing } from '../src/cli/tracing';
import type { Job } from '../src/protocol/model';
import { controllerSettings } from './fakes/controller-settings';

function settingsWith(admission: unknown): Settings {
  const objectives = [{ kind: 'wait', class: 'photo' }];
  const { platform } = controllerSettings(0, { objectives }, 1);
  return makeSettings(platform, { admission }, ['settings.toml', 'options.toml']);
}

test('admission is off if the options file has no table for it, or disables it', () => {
  assert.equal(readAdmissionOptions(settingsWith(undefined)), undefined);
  assert.equal(readAdmissionOptions(settingsWith({ enabled: false })), undefined);
  const options = readAdmissionOptions(settingsWith({ enabled: true, class_weights: { photo: 2 } }));
  assert.deepEqual(options?.weights, { classes: { photo: 2 }, teams: { red: 8, blue: 8 } });
});

test('the options file that comes with the program is valid', () => {
  const { admission } = parse(readFileSync('deploy/admission.toml', 'utf8'));
  const options = readAdmissionOptions(settingsWith(admission));
  assert.deepEqual([options?.enterS, options?.leaveS, options?.epochS], [180, 60, 5]);
});

for (const [what, admission, key] of [
  ['a weight of zero', { enabled: true, class_weights: { photo: 0 } }, 'admission.class_weights.photo'],
  ['a negative weight', { enabled: true, team_weights: { red: -1 } }, 'admission.team_weights.red'],
  [
    'a weight that is not a number',
    { enabled: true, team_weights: { red: 'much' } },
    'admission.team_weights.red',
  ],
  [
    'a weight that is not finite',
    { enabled: true, team_weights: { red: Infinity } },
    'admission.team_weights.red',
  ],
  ['an unknown class', { enabled: true, class_weights: { video: 1 } }, 'admission.class_weights.video'],
  ['an unknown team', { enabled: true, team_weights: { green: 1 } }, 'admission.team_weights.green'],
  ['an unknown key', { enabled: true, weight: 1 }, 'admission'],
  ['a missing switch', { enter_s: 100 }, 'admission.enabled'],
  ['a switch that is not a boolean', { enabled: 'yes' }, 'admission.enabled'],
  ['thresholds the wrong way round', { enabled: true, enter_s: 50, leave_s: 50 }, 'admission.leave_s'],
  ['an epoch that is too long for users', { enabled: true, epoch_s: 60 }, 'admission.epoch_s'],
  ['a value that is not a table', 7, 'admission'],
] as const) {
  test(`the controller refuses to start with ${what}; the error names key and file`, () => {
    assert.throws(
      () => readAdmissionOptions(settingsWith(admission)),
      (error) => error instanceof SettingsError && error.message.startsWith(`options.toml: ${key}: `),
    );
  });
}

const JOB = { id: 'req-1', jobClass: 'photo', team: 'red' } as Job;

test('the span of a submission contains its admission decision once a trace provider is registered', async () => {
  after(() => {
    trace.disable();
    context.disable();
  });
  const decide = async (): Promise<string> => {
    await Promise.resolve();
    traceDecision(JOB, initialEpoch({ classes: {}, teams: {} }), { kind: 'defer', retryAfterS: 3 });
    return 'answer';
  };
  assert.equal(await traceSubmission(JOB, decide), 'answer', 'a submission works without a provider');
  const exporter = new InMemorySpanExporter();
  startTracing(exporter);
  assert.equal(await traceSubmission(JOB, decide), 'answer');
  await assert.rejects(
    traceSubmission(JOB, () => Promise.reject(new Error('no answer'))),
    /no answer/,
  );
  const [span, failed] = exporter.getFinishedSpans();
  assert.ok(span && failed);
  assert.equal(span.attributes['job.id'], 'req-1');
  assert.deepEqual(
    span.events.map(({ name, attributes }) => [
      name,
      attributes?.['admission.decision'],
      attributes?.['job.class'],
    ]),
    [['decided', 'defer', 'photo']],
  );
  assert.equal(failed.events[0]?.name, 'exception');
  const lines: unknown[] = [];
  const doNothing = (): void => undefined;
  const log = {
    error: doNothing,
    warn: doNothing,
    debug: doNothing,
    info: (line: unknown) => lines.push(line),
  };
  new LogSpanExporter(log as never).export([span], doNothing);
  assert.equal((lines[0] as { 'job.id': string })['job.id'], 'req-1');
});
