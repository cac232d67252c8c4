import {ManualClock, SeededRandomSource} from '@cardamomfield/clock';
import {
  RefusedError,
  type TypedError,
  UnavailableError,
  UncertainError,
} from '@cardamomfield/errors';
import fc from 'fast-check';
import {type Either, Left, Right} from 'purify-ts';
import {describe, expect, it} from 'vitest';
import {Backoff} from './backoff.js';
import {callWithRetries} from './call_with_retries.js';
import {RetryBudget} from './retry_budget.js';

const INITIAL = 100;
const MAXIMUM = 1_000;

function createBackoff(clock: ManualClock, seed: number): Backoff {
  return Backoff.create({
    clock,
    random: SeededRandomSource.create(seed),
    initialMilliseconds: INITIAL,
    maximumMilliseconds: MAXIMUM,
  });
}

const failures: Record<string, TypedError> = {
  unavailable: UnavailableError.create('x'),
  uncertain: UncertainError.create('x'),
  refused: RefusedError.create('x'),
};

describe('Backoff', () => {
  // Guards against delays without jitter, delays outside their bounds, and a
  // reset that does not return to the initial delay.
  it('keeps every delay within its bounds', () => {
    fc.assert(
      fc.property(
        fc.integer(),
        fc.array(fc.boolean(), {minLength: 8, maxLength: 40}),
        (seed, resets) => {
          const backoff = createBackoff(ManualClock.create(), seed);
          let longest = INITIAL;
          const shares = new Set<number>();
          for (const isReset of resets) {
            const wait = backoff.nextDeadline();
            expect(wait).toBeGreaterThanOrEqual(longest / 2);
            expect(wait).toBeLessThanOrEqual(longest);
            shares.add(wait / longest);
            longest = Math.min(MAXIMUM, longest * 2);
            if (!isReset) continue;
            backoff.reset();
            longest = INITIAL;
          }
          expect(shares.size).toBeGreaterThan(1);
        },
      ),
      {seed: 13, numRuns: 100},
    );
  });
});

describe('callWithRetries', () => {
  // Guards against attempts after the deadline, beyond the budget, after a
  // failure that must not be retried, or while the previous attempt may still
  // run.
  it('respects the deadline, the budget and confirmations', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.record({
          outcomes: fc.array(
            fc.constantFrom('unavailable', 'uncertain', 'refused', 'done'),
            {minLength: 1, maxLength: 12},
          ),
          attemptTime: fc.integer({min: 1, max: 400}),
          confirmTime: fc.integer({min: 0, max: 400}),
          deadline: fc.integer({min: 1, max: 1_500}),
          hasBudget: fc.boolean(),
          unconfirmed: fc.integer({min: 1, max: 8}),
        }),
        async trace => {
          const clock = ManualClock.create();
          const budget = RetryBudget.create({
            clock,
            ratio: 0,
            floorPerSecond: 0,
          });
          if (!trace.hasBudget) budget.tryTake();
          const started: number[] = [];
          const confirmed: number[] = [];
          let result: Either<TypedError, string> | undefined;
          void callWithRetries<string>({
            clock,
            budget,
            backoff: createBackoff(clock, 1),
            deadline: trace.deadline,
            attempt: async (attempt, deadline) => {
              expect(deadline).toBeLessThanOrEqual(trace.deadline);
              expect(confirmed).toHaveLength(attempt - 1);
              started.push(clock.monotonicNow());
              await clock.sleepUntil(clock.monotonicNow() + trace.attemptTime);
              const outcome = trace.outcomes[attempt - 1] ?? 'done';
              return outcome === 'done' ? Right('x') : Left(failures[outcome]!);
            },
            confirmStopped: async attempt => {
              const end = clock.monotonicNow() + trace.confirmTime;
              await clock.sleepUntil(end);
              if (attempt === trace.unconfirmed) return false;
              confirmed.push(attempt);
              return true;
            },
          }).then(outcome => (result = outcome));
          await clock.advance(20_000);
          expect(result).toBeDefined();
          for (const at of started) expect(at).toBeLessThan(trace.deadline);
          expect(started.length).toBeLessThanOrEqual(trace.hasBudget ? 2 : 1);
          expect(started.length).toBeLessThanOrEqual(trace.unconfirmed);
          const final = trace.outcomes[started.length - 1] ?? 'done';
          expect(result!.isRight()).toBe(final === 'done');
          const firstFinal = trace.outcomes.findIndex(
            outcome => outcome === 'refused' || outcome === 'done',
          );
          if (firstFinal >= 0) {
            expect(started.length).toBeLessThanOrEqual(firstFinal + 1);
          }
        },
      ),
      {seed: 14, numRuns: 150},
    );
  });

  // Guards against giving up although deadline and budget allow a retry.
  it('retries until it succeeds', async () => {
    const clock = ManualClock.create();
    const budget = RetryBudget.create({clock, ratio: 5});
    let attempts = 0;
    let result: Either<TypedError, string> | undefined;
    void callWithRetries<string>({
      clock,
      budget,
      backoff: createBackoff(clock, 1),
      deadline: 10_000,
      attempt: async attempt => {
        attempts = attempt;
        return attempt < 4 ? Left(failures['uncertain']!) : Right('x');
      },
    }).then(outcome => (result = outcome));
    await clock.advance(10_000);
    expect(attempts).toBe(4);
    expect(result).toEqual(Right('x'));
  });
});
