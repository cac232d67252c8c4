import {ManualClock} from '@cardamomfield/clock';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {ReplyMatcher} from './reply_matcher.js';
import type {ReplyVerdict} from './reply_verdict.js';

const identity = fc.record({
  key: fc.constantFrom('k', 'l', 'm'),
  attempt: fc.integer({min: 1, max: 3}),
  connection: fc.constantFrom('c', 'd'),
});
const step = fc.record({
  kind: fc.constantFrom('expect', 'accept', 'accept', 'abandon', 'close'),
  identity,
});
type Identity = typeof identity extends fc.Arbitrary<infer T> ? T : never;

/** Reference model of one attempt. */
interface ModelAttempt {
  connection: string;
  state: 'open' | 'answered' | 'given-up';
  outcome?: string;
}

function modelVerdict(
  attempt: ModelAttempt | undefined,
  connection: string,
): ReplyVerdict {
  if (!attempt) return 'foreign';
  if (attempt.connection !== connection) return 'crossed';
  if (attempt.state === 'open') return 'matched';
  return attempt.state === 'answered' ? 'duplicate' : 'late';
}

describe('ReplyMatcher', () => {
  // Guards against delivering the reply of another request or attempt to a
  // caller, or delivering two replies.
  it('agrees with a reference model on every trace', async () => {
    const traces = fc.array(step, {maxLength: 60});
    await fc.assert(
      fc.asyncProperty(traces, async trace => {
        const matcher = ReplyMatcher.create<string>({
          clock: ManualClock.create(),
        });
        const model = new Map<string, ModelAttempt>();
        const received = new Map<string, string>();
        const nameOf = (id: Identity) => `${id.key}/${id.attempt}`;
        for (const [index, {kind, identity: id}] of trace.entries()) {
          const attempt = model.get(nameOf(id));
          if (kind === 'expect' && !attempt) {
            const {connection} = id;
            model.set(nameOf(id), {connection, state: 'open'});
            void matcher.expect(id, 1_000).then(outcome =>
              outcome.caseOf({
                Left: error => received.set(nameOf(id), error.code),
                Right: reply => received.set(nameOf(id), reply),
              }),
            );
          } else if (kind === 'accept') {
            const verdict = modelVerdict(attempt, id.connection);
            const reply = `${nameOf(id)} at ${index}`;
            expect(matcher.accept(id, reply)).toBe(verdict);
            if (verdict === 'matched' && attempt) {
              attempt.state = 'answered';
              attempt.outcome = reply;
            }
          } else if (kind === 'abandon') {
            matcher.abandon(id);
            if (attempt?.state === 'open') {
              attempt.state = 'given-up';
              attempt.outcome = 'cancelled';
            }
          } else if (kind === 'close') {
            matcher.closeConnection(id.connection);
            for (const other of model.values()) {
              if (other.connection !== id.connection) continue;
              if (other.state !== 'open') continue;
              other.state = 'given-up';
              other.outcome = 'uncertain';
            }
          }
        }
        await new Promise(resolve => setImmediate(resolve));
        for (const [name, attempt] of model) {
          expect(received.get(name)).toBe(attempt.outcome);
        }
      }),
      {seed: 12, numRuns: 300},
    );
  });

  // Guards against an attempt that waits past its deadline, and against
  // classifying its late reply as foreign.
  it('ends an attempt at its deadline', async () => {
    const clock = ManualClock.create();
    const matcher = ReplyMatcher.create<string>({clock});
    const id = {key: 'k', attempt: 1, connection: 'c'};
    const outcome = matcher.expect(id, 100);
    await clock.advance(100);
    expect((await outcome).swap().unsafeCoerce().code).toBe('uncertain');
    expect(matcher.accept(id, 'x')).toBe('late');
    expect(matcher.verdictCounts()).toMatchObject({late: 1, matched: 0});
  });

  // Guards against memory use that grows with every request, and against
  // opening the same attempt twice.
  it('retains a bounded number of ended attempts', async () => {
    const matcher = ReplyMatcher.create<string>({
      clock: ManualClock.create(),
      retainedAttempts: 1,
    });
    const first = {key: 'k', attempt: 1, connection: 'c'};
    const second = {key: 'k', attempt: 2, connection: 'c'};
    for (const id of [first, second]) {
      void matcher.expect(id, 1_000);
      matcher.accept(id, 'x');
    }
    expect(matcher.accept(first, 'x')).toBe('foreign');
    expect(matcher.accept(second, 'x')).toBe('duplicate');
    const again = await matcher.expect(second, 1_000);
    expect(again.swap().unsafeCoerce().code).toBe('conflict');
  });
});
