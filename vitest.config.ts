import {defineConfig} from 'vitest/config';

const MAXIMUM_WORKERS = 6;
const TEST_TIMEOUT_MILLISECONDS = 120_000;

export default defineConfig({
  resolve: {
    alias: [
      {
        find: /^@cardamomfield\/([^/]+)$/,
        replacement: `${import.meta.dirname}/packages/$1/src/index.ts`,
      },
    ],
  },
  test: {
    include: ['packages/*/src/**/*.test.ts', 'platform/src/**/*.test.ts'],
    // These run apart, see vitest.crowd.config.ts.
    exclude: ['**/node_modules/**', 'platform/src/crowd/**'],
    maxWorkers: MAXIMUM_WORKERS,
    testTimeout: TEST_TIMEOUT_MILLISECONDS,
    hookTimeout: TEST_TIMEOUT_MILLISECONDS,
  },
});
