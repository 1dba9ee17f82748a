// Process tests start the bundles, so they are rebuilt once before the test run.
import { bundle } from './build.mjs';

export default () => bundle();
