/** @file What a controller is made of; test/production/bundle.ts has the same of the production version. */
export { makeSettings } from '../../src/base/settings';
export { Controller } from '../../src/coordination/controller';
export { createRoutes } from '../../src/coordination/routes';
export { NoResponseError } from '../../src/transport/http-client';
