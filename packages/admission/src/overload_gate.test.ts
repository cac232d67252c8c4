import {ManualClock} from '@cardamomfield/clock';
import {WorkKind} from '@cardamomfield/types';
import {describe, expect, it} from 'vitest';
import {OverloadGate} from './overload_gate.js';

describe('OverloadGate', () => {
  // Guards against batch work that displaces urgent work under overload.
  it('refuses lower classes first', () => {
    const gate = OverloadGate.create(ManualClock.create(), 100);
    const firstRefused: string[] = [];
    for (let n = 0; n < 100; n++) {
      for (const kind of [...WorkKind.options].reverse()) {
        if (firstRefused.includes(kind)) continue;
        if (gate.admit(kind, 1).isRight()) gate.release(kind, 1);
        else firstRefused.push(kind);
      }
      gate.admit('urgent', 1);
    }
    expect(firstRefused).toEqual(['batch', 'gang', 'service', 'interactive']);
    expect(gate.admit('urgent', 1).isLeft()).toBe(true);
  });

  // Guards against retry deadlines that expire long before there is capacity,
  // so that the retries add to the overload.
  it('derives the retry deadline from the measured drain rate', async () => {
    const clock = ManualClock.create();
    const gate = OverloadGate.create(clock, 1_000);
    gate.admit('urgent', 1_000);
    for (let n = 0; n < 100; n++) {
      await clock.advance(100);
      gate.release('urgent', 1);
      gate.admit('urgent', 1);
    }
    const refusal = gate.admit('urgent', 50).swap().unsafeCoerce();
    const wait = Number(refusal.details['retryAfter']) - clock.wallNow();
    expect(wait).toBeGreaterThan(4_000);
    expect(wait).toBeLessThan(6_000);
  });
});
