import { defineConfig } from 'vitest/config';
import { KnownRedReporter } from './packages/bench/src/known-red-reporter';

export default defineConfig({
  test: {
    include: ['packages/*/test/**/*.test.ts', 'platform/test/**/*.test.ts'],
    globalSetup: ['./scripts/bundle-before-tests.mjs'],
    reporters: ['default', new KnownRedReporter()],
    testTimeout: 30_000,
    hookTimeout: 30_000,
    // Process tests share the loopback interface and the cores; a small pool keeps their timing steady.
    maxWorkers: 4,
  },
});
