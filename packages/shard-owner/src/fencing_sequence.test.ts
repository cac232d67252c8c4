import {expect, it} from 'vitest';
import {FencingSequence} from './fencing_sequence.js';

/** Epochs of owners of earlier versions rise by one. */
const EARLIER_VERSION_EPOCH = 7;

// Guards against orders of an earlier owner that a worker carries out after those
// of a later one, also during an update from a version with one token an epoch.
it('keeps the tokens of each owner below those of the next', () => {
  const first = FencingSequence.nextEpoch(EARLIER_VERSION_EPOCH);
  expect(first).toBeGreaterThan(EARLIER_VERSION_EPOCH);
  const tokens = FencingSequence.create(first);
  expect(tokens.current).toBe(first);
  while (tokens.raise() !== undefined);
  expect(tokens.current).toBeGreaterThan(first);
  expect(tokens.current).toBeLessThan(FencingSequence.nextEpoch(first));
});
