/** @file What a controller is made of; test/production/bundle.ts has the same of the production version. */
export { makeSettings } from '../../src/base/settings';
export { Node } from '../../src/coordination/node';
export { createRoutes } from '../../src/coordination/routes';
export { NoResponseError } from '../../src/transport/http-client';
