import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';

test('the code that the build keeps is for the flags that the program is run with: for others it would be refused', () => {
  const flags = /node ((?:--\S+ )+)target\/main\.js/;
  const run = flags.exec(readFileSync('deploy/service.toml', 'utf8'))?.[1];
  const build = flags.exec(readFileSync('package.json', 'utf8'))?.[1];
  assert.ok(run);
  assert.equal(build, run);
});
