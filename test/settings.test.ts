import assert from 'node:assert/strict';
import { test } from 'node:test';
import { makeSettings } from '../src/base/settings';
import { SettingsError } from '../src/base/settings-schema';

const platform = (): Record<string, unknown> => ({
  node: 'a',
  area: 'z',
  bind: '10.0.0.1:8080',
  back: '10.0.0.1:8081',
  fieldOfTomorrow: 1,
  external: { cloud: '10.2.0.2:1', state: '10.2.0.1:1' },
  deployment: {
    teams: [{ name: 'red' }],
    workers: { report_s: 3, lease_s: 26, cancel_s: 51 },
    state: { rps: 100, write_rps: 50, value_kb: 16, txn_ops: 32 },
    cloud: { rps: 3, list_lag_s: 4 },
    quota: {},
  },
});

test('unknown platform fields are ignored, errors name file and field, and the shard lease leaves time for cancellations', () => {
  assert.equal(makeSettings(platform(), {}).shardLeaseMs, 5000);
  const errorMessage = (
    change: (p: Record<string, Record<string, unknown>>) => void,
    options: unknown = {},
  ): string => {
    const settings = platform() as Record<string, Record<string, unknown>>;
    change(settings);
    try {
      makeSettings(settings, options, ['p.toml', 'o.toml']);
    } catch (error) {
      assert.ok(error instanceof SettingsError);
      assert.ok(!error.message.includes('\n'));
      return error.message;
    }
    return 'no error';
  };
  const none = (): void => undefined;
  assert.match(
    errorMessage((p) => delete p.bind),
    /^p\.toml: bind: /,
  );
  assert.match(
    errorMessage((p) => ((p.deployment ?? {}).teams = [])),
    /^p\.toml: deployment\.teams: /,
  );
  const tooShortCancellation = { report_s: 1, lease_s: 10, cancel_s: 12 };
  assert.match(
    errorMessage((p) => ((p.deployment ?? {}).workers = tooShortCancellation)),
    /cancel_s: leaves no time/,
  );
  assert.match(errorMessage(none, { blokcs: 2 }), /^o\.toml: .*blokcs/);
  assert.match(errorMessage(none, { block_lease_s: 22 }), /^o\.toml: block_lease_s: /);
  assert.equal(errorMessage(none, { block_lease_s: 21 }), 'no error');
  const lowMemory = platform() as Record<string, Record<string, unknown>>;
  (lowMemory.deployment ?? {}).quota = { mem_mb: 90 };
  assert.match(
    makeSettings(lowMemory, {}, ['p.toml']).warnings.join(),
    /^p\.toml: deployment\.quota\.mem_mb: 90 MB/,
  );
  assert.deepEqual(makeSettings(platform(), {}).warnings, []);
});
