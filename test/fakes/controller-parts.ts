/**
 * What a controller is made of. This file is bundled twice: with the present sources, and, copied beside them, with those
 * of the production version (test/production/bundle.ts).
 */
export { makeSettings } from '../../src/base/settings';
export { Node } from '../../src/coordination/node';
export { createRoutes } from '../../src/coordination/routes';
export { NoAnswer } from '../../src/transport/http-client';
