import {defineConfig, mergeConfig} from 'vitest/config';
import base from './vitest.config.js';

/** Tests that load their processes to the limit run one at a time. */
const merged = mergeConfig(
  base,
  defineConfig({test: {maxWorkers: 1, fileParallelism: false}}),
);
merged.test.include = ['platform/src/crowd/**/*.test.ts'];
merged.test.exclude = ['**/node_modules/**'];
export default merged;
