import {ManualClock} from '@cardamomfield/clock';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {filterTimeline} from './filter_timeline.js';
import {mergeTimelines} from './merge_timelines.js';
import {Timeline} from './timeline.js';
import type {TimelineEvent} from './timeline_event.js';

const PROCESSES = ['one', 'two', 'three'];

/** Wall clocks whose differences exceed the duration of a step. */
const WALL_STARTS = [1_000_000, 1_000_040, 999_700];

const process = fc.nat({max: PROCESSES.length - 1});
const step = fc.oneof(
  fc.record({type: fc.constant('advance'), process, by: fc.nat({max: 30})}),
  fc.record({type: fc.constant('local'), process, by: fc.constant(0)}),
  fc.record({type: fc.constant('message'), process, by: process}),
);

/** Runs the steps; returns each process's events and all causal pairs. */
async function run(steps: Array<{type: string; process: number; by: number}>) {
  const clocks = WALL_STARTS.map(start => ManualClock.create(start));
  const timelines = PROCESSES.map((name, index) =>
    Timeline.create({process: name, clock: clocks[index]!}),
  );
  const causes: Array<[number, number]> = [];
  const last: Array<number | undefined> = PROCESSES.map(() => undefined);
  let id = 0;
  const record = (index: number, cause?: number) => {
    for (const earlier of [last[index], cause]) {
      if (earlier !== undefined) causes.push([earlier, id]);
    }
    timelines[index]!.record('step', {id});
    last[index] = id;
    id += 1;
    return id - 1;
  };
  for (const {type, process: index, by} of steps) {
    if (type === 'advance') await clocks[index]!.advance(by);
    if (type === 'local') record(index);
    if (type === 'message') {
      const sent = record(index);
      timelines[by]!.observe(timelines[index]!.now());
      record(by, sent);
    }
  }
  return {events: timelines.map(timeline => timeline.events()), causes};
}

describe('mergeTimelines', () => {
  // Guards against a merged timeline that shows an effect before its cause
  // when wall clocks disagree.
  it('keeps every cause before its effect', async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(step, {maxLength: 40}), async steps => {
        const {events, causes} = await run(steps);
        const merged = mergeTimelines(events).map(event => event.fields['id']);
        expect(merged).toHaveLength(events.flat().length);
        for (const [cause, effect] of causes) {
          expect(merged.indexOf(cause)).toBeLessThan(merged.indexOf(effect));
        }
      }),
      {seed: 5, numRuns: 200},
    );
  });

  // Guards against output that depends on which host answers first, and
  // against events shown twice when a host is named twice.
  it('does not depend on the order or repetition of the lists', () => {
    const [first, second, third] = PROCESSES.map(name => [
      {time: {wall: 1, counter: 0}, process: name, kind: 'step', fields: {}},
      {time: {wall: 1, counter: 1}, process: name, kind: 'step', fields: {}},
    ]);
    const merged = mergeTimelines([first!, second!, third!]);
    expect(merged).toHaveLength(6);
    expect(mergeTimelines([third!, first!, second!, first!])).toEqual(merged);
  });
});

describe('filterTimeline', () => {
  const event = (kind: string, fields: TimelineEvent['fields']) => ({
    time: {wall: 1, counter: 0},
    process: 'one',
    kind,
    fields,
  });
  const events = [
    event('task.started', {key: 'k1', worker: 'w1', group: 'g1'}),
    event('task.ended', {key: 'k2', worker: 'w1', group: 'g1'}),
    event('tasks', {key: 'k1'}),
  ];

  // Guards against a filter that drops matching events or keeps others.
  it.each([
    [{}, 3],
    [{request: 'k1'}, 2],
    [{request: 'k1', worker: 'w1'}, 1],
    [{group: 'g2'}, 0],
    [{group: 'g1'}, 2],
    [{process: 'two'}, 0],
    [{kind: 'task'}, 2],
    [{kind: 'task.ended'}, 1],
  ])('selects by %j', (filter, count) => {
    expect(filterTimeline(events, filter)).toHaveLength(count);
  });
});
