/** @file The commands of the command line. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createProgram } from '../src/cli/program';

test('`cancel` cancels a job, and its old name `withdraw` is an alias', () => {
  const cancel = createProgram().commands.find((command) => command.name() === 'cancel');
  assert.deepEqual(cancel?.aliases(), ['withdraw']);
});
