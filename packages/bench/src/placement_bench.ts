import type {CommandModule} from 'yargs';
import {measureDecisionTimes} from './decision_times.js';
import {measurePacking} from './packing.js';
import {measureWaitingTimes} from './waiting_times.js';

const PARTS = ['decisions', 'waiting', 'packing'] as const;

interface Options {
  seed: number;
  only?: string;
}

/** Measures the placement library alone, without processes or network. */
export const PLACEMENT_BENCH: CommandModule<object, Options> = {
  command: 'placement',
  describe: 'decision time, waiting time and packing of the decision library',
  builder: builder =>
    builder
      .option('seed', {type: 'number', default: 1, describe: 'random seed'})
      .option('only', {choices: PARTS, describe: 'one part alone'}),
  handler: ({seed, only}) => {
    if (!only || only === 'decisions') measureDecisionTimes(seed);
    if (!only || only === 'waiting') measureWaitingTimes(seed);
    if (!only || only === 'packing') measurePacking(seed);
  },
};
