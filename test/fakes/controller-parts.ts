/** @file What tests need to create a controller; test/production/bundle.ts has the same for the production version. */
export { makeSettings } from '../../src/base/settings';
export { Controller } from '../../src/coordination/controller';
export { createRoutes } from '../../src/coordination/routes';
export { NoResponseError } from '../../src/transport/http-client';
