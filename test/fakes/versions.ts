/** @file Creates controllers of the present and of the production version. */
import { existsSync } from 'node:fs';
import { createRequire } from 'node:module';
import { resolve } from 'node:path';
import type { Log } from '../../src/base/log';
import type { Environment } from '../../src/coordination/environment';
import { NoResponseError, type HttpCaller } from '../../src/transport/http-client';
import type { Route } from '../../src/transport/http-server';
import * as present from './controller-parts';

/** The version that a controller runs: these sources, or those that deploy/service.toml names as `production`. */
export type Version = 'production' | 'present';

type ControllerParts = typeof present;

/** Written by test/production/bundle.ts. The path is relative to the repository's root, where the tests run. */
const PRODUCTION_BUNDLE = 'target/production/controller.js';

/**
 * Loads the production version's classes, cast to the present version's types. This is the only such cast; it is safe
 * because the tests use only members that both versions have.
 */
function loadProduction(): ControllerParts {
  const file = resolve(PRODUCTION_BUNDLE);
  if (!existsSync(file)) throw new Error(`${PRODUCTION_BUNDLE} is missing: run "npm run production" first`);
  return createRequire(file)(file) as ControllerParts;
}

/** Converts the fake network's errors to the version's own error class, which it recognizes by `instanceof`. */
function withErrorsOf(parts: ControllerParts, caller: HttpCaller): HttpCaller {
  return {
    call: async (...request) => {
      try {
        return await caller.call(...request);
      } catch (error) {
        if (!(error instanceof NoResponseError)) throw error;
        throw new parts.NoResponseError(error.message, error.mayHaveExecuted);
      }
    },
  };
}

/** Creates a controller of either version without starting it. */
export function createController(
  version: Version,
  settings: { platform: unknown; operator: unknown },
  environment: Environment,
  log: Log,
): { controller: present.Controller; routes: Route[] } {
  const parts = version === 'present' ? present : loadProduction();
  const controller = new parts.Controller(parts.makeSettings(settings.platform, settings.operator), {
    ...environment,
    http: version === 'present' ? environment.http : withErrorsOf(parts, environment.http),
    workers: version === 'present' ? environment.workers : withErrorsOf(parts, environment.workers),
  });
  return { controller, routes: parts.createRoutes(controller, log) };
}
