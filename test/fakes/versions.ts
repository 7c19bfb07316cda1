/** @file Controllers of the present and of the production version. */
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

/** Written by test/production/bundle.ts; from the repository's root, where the tests run. */
const PRODUCTION_BUNDLE = 'target/production/controller.js';

/**
 * The production version has the types of its own sources. Here, and nowhere else, they are taken for the present ones:
 * the tests use only what both versions have.
 */
function loadProduction(): ControllerParts {
  const file = resolve(PRODUCTION_BUNDLE);
  if (!existsSync(file)) throw new Error(`${PRODUCTION_BUNDLE} is missing: run "npm run production" first`);
  return createRequire(file)(file) as ControllerParts;
}

/** Errors of the in-memory network, as instances of the version's own class, which it recognizes by `instanceof`. */
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

/** A controller of either version, not started yet. */
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
