import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';

test('the code cache is built with the flags of the program: V8 rejects a cache of other flags', () => {
  const flags = /node ((?:--\S+ )+)target\/main\.js/;
  const programFlags = flags.exec(readFileSync('deploy/service.toml', 'utf8'))?.[1];
  const buildFlags = flags.exec(readFileSync('package.json', 'utf8'))?.[1];
  assert.ok(programFlags);
  assert.equal(buildFlags, programFlags);
});
