import fc from 'fast-check';

const host = fc.nat({max: 4});
const worker = fc.nat({max: 5});
const isOn = fc.boolean();

/** One random operation of a system run. */
export const systemOperation = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      type: fc.constant('submit' as const),
      host,
      kind: fc.constantFrom('interactive', 'batch', 'urgent', 'service'),
      isIdempotent: fc.boolean(),
      /** Requests with the same number share a key. */
      keyNumber: fc.option(fc.nat({max: 5}), {nil: undefined}),
      taskCount: fc.integer({min: 1, max: 3}),
      size: fc.integer({min: 1, max: 4}),
      runMilliseconds: fc.constantFrom(10, 500, 4_000),
      deadlineMilliseconds: fc.constantFrom(500, 5_000, 30_000),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      type: fc.constant('cancel' as const),
      host,
      request: fc.nat({max: 30}),
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      type: fc.constant('advance' as const),
      milliseconds: fc.constantFrom(1, 20, 300, 1_500, 4_000),
    }),
  },
  {weight: 1, arbitrary: fc.record({type: fc.constant('kill' as const), host})},
  {
    weight: 2,
    arbitrary: fc.record({type: fc.constant('restart' as const), host}),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      type: fc.constant('pause' as const),
      host,
      milliseconds: fc.constantFrom(300, 1_900, 3_000, 7_000),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      type: fc.constant('cut' as const),
      host,
      other: host,
    }),
  },
  {weight: 1, arbitrary: fc.record({type: fc.constant('heal' as const)})},
  {
    weight: 1,
    arbitrary: fc.record({type: fc.constant('log-outage' as const), isOn}),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      type: fc.constant('lose-append-answers' as const),
      count: fc.integer({min: 1, max: 3}),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      type: fc.constant('lose-start-answers' as const),
      worker,
      count: fc.integer({min: 1, max: 3}),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      type: fc.constant('cut-worker' as const),
      host,
      worker,
      isOn,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      type: fc.constant('hold-commands' as const),
      host,
      worker,
      isOn,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      type: fc.constant('restart-worker' as const),
      worker,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      type: fc.constant('fail-everything' as const),
      worker,
      isOn,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      type: fc.constant('leave' as const),
      worker,
      isOn,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      type: fc.constant('edit' as const),
      host,
      other: host,
      worker,
    }),
  },
);
