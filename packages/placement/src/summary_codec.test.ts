import {RESOURCE_NAMES, WorkKind} from '@cardamomfield/types';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {SummaryCodec} from './summary_codec.js';

const OWNED_GROUPS = 44;
const PEERS = 8;
const HEARTBEATS_PER_SECOND = 2;
/** Two thirds of an owner's send budget; the rest is for other traffic. */
const BUDGET_BYTES_PER_SECOND = 20_000;

const amount = fc.oneof(fc.nat(200), fc.integer({min: 0, max: 2 ** 45}));
const amounts = fc.record({
  processorMillicores: amount,
  memoryBytes: amount,
  accelerators: amount,
  slots: amount,
  connections: amount,
});

const summary = fc.record({
  groups: fc.array(
    fc.record({
      name: fc.nat(999).map(n => `rack-sahel-centre-${n}`),
      free: amounts,
      largestFree: amounts,
    }),
    {minLength: OWNED_GROUPS, maxLength: OWNED_GROUPS},
  ),
  classes: fc.constant(
    WorkKind.options.map(kind => ({
      kind,
      waitingTasks: 12_345,
      expectedWaitMilliseconds: 123_456,
    })),
  ),
});

describe('SummaryCodec', () => {
  // Guards against encoded amounts that are overstated or too inaccurate.
  it('decodes amounts to between 98 % and 100 % of the original', () => {
    fc.assert(
      fc.property(summary, original => {
        const decoded = SummaryCodec.decode(SummaryCodec.encode(original));
        expect(decoded.classes).toEqual(original.classes);
        decoded.groups.forEach((group, i) => {
          const before = original.groups[i]!;
          expect(group.name).toBe(before.name);
          for (const name of RESOURCE_NAMES) {
            expect(group.free[name]).toBeLessThanOrEqual(before.free[name]);
            const least = 0.98 * before.free[name] - 1;
            expect(group.free[name]).toBeGreaterThanOrEqual(least);
            const largest = group.largestFree[name];
            expect(largest).toBeLessThanOrEqual(before.largestFree[name]);
          }
        });
      }),
      {seed: 41, numRuns: 50},
    );
  });

  // Guards against summaries that exceed the network budget of heartbeats.
  it('fits the summary of a ninth of the racks in the heartbeats', () => {
    const [original] = fc.sample(summary, {seed: 42, numRuns: 1});
    const bytes = JSON.stringify(SummaryCodec.encode(original!)).length;
    const rate = bytes * PEERS * HEARTBEATS_PER_SECOND;
    expect(rate).toBeLessThan(BUDGET_BYTES_PER_SECOND);
  });
});
