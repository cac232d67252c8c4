import {ManualClock, SeededRandomSource} from '@cardamomfield/clock';
import {UnavailableError} from '@cardamomfield/errors';
import {Left, Right} from 'purify-ts';
import {describe, expect, it} from 'vitest';
import type {GangJob} from './gang_job.js';
import {GangReservation} from './gang_reservation.js';
import type {HoldClient} from './hold_client.js';
import {OwnerScheduler} from './owner_scheduler.js';
import type {PlacedTask} from './placed_task.js';

const OWNERS = 9;
const GROUPS_PER_OWNER = 2;
const WORKERS_PER_GROUP = 8;
const GANGS = 20;
const TASKS = 64;
const RUN_MILLISECONDS = 400;
const ONE_TASK = {
  processorMillicores: 1_000,
  memoryBytes: 1,
  accelerators: 0,
  slots: 1,
  connections: 0,
};

/** Nine schedulers with 18 racks; one gang uses nearly half of the workers. */
class Cell {
  readonly clock = ManualClock.create();
  readonly random: SeededRandomSource;
  readonly owners: OwnerScheduler[] = [];
  readonly started = new Map<string, PlacedTask[]>();
  /** Probability that a request is lost, and that an answer is lost. */
  lossProbability = 0;

  constructor(seed: number) {
    this.random = SeededRandomSource.create(seed);
    for (let o = 0; o < OWNERS; o++) this.owners.push(this.createOwner(o));
  }

  ownerOf(group: string): OwnerScheduler {
    return this.owners[Number(group.slice(1)) % OWNERS]!;
  }

  offers() {
    return this.owners.flatMap(owner => owner.summary().groups);
  }

  reservedSlots(): number {
    let slots = 0;
    for (const owner of this.owners) {
      for (let w = 0; w < GROUPS_PER_OWNER * WORKERS_PER_GROUP * OWNERS; w++) {
        slots += owner.reservedOn(`w${w}`)?.slots ?? 0;
      }
    }
    return slots;
  }

  /** A client that delays and loses requests and answers. */
  readonly client: HoldClient = {
    hold: request =>
      this.deliver(() => this.ownerOf(request.group).hold(request)),
    commit: commit =>
      this.deliver(() => this.ownerOf(commit.group).commitHold(commit)),
    start: (gangKey, group) =>
      this.deliver(() => {
        const answer = this.ownerOf(group).startHold(gangKey, group);
        answer.ifRight(placed => {
          const before = this.started.get(gangKey) ?? [];
          this.started.set(gangKey, [...before, ...placed]);
        });
        return answer.map(() => undefined);
      }, 0),
    release: async (gangKey, group) => {
      await this.deliver(() => {
        this.ownerOf(group).releaseHold(gangKey, group);
        return Right(undefined);
      });
    },
  };

  private async deliver<Answer>(
    handle: () => Answer,
    lossProbability = this.lossProbability,
  ): Promise<Answer | ReturnType<typeof lost>> {
    await this.delay();
    if (this.random.fraction() < lossProbability) return lost();
    const answer = handle();
    await this.delay();
    return this.random.fraction() < lossProbability ? lost() : answer;
  }

  private delay(): Promise<void> {
    const milliseconds = 1 + this.random.integerBelow(10);
    return this.clock.sleepUntil(this.clock.monotonicNow() + milliseconds);
  }

  private createOwner(o: number): OwnerScheduler {
    const {clock, random} = this;
    const owner = OwnerScheduler.create({clock, random});
    for (let g = o; g < OWNERS * GROUPS_PER_OWNER; g += OWNERS) {
      for (let w = 0; w < WORKERS_PER_GROUP; w++) {
        owner.setWorker({
          name: `w${g * WORKERS_PER_GROUP + w}`,
          group: `g${g}`,
          region: 'r',
          availabilityZone: 'z',
          services: ['s'],
          capacity: {...ONE_TASK, processorMillicores: 1_000},
          state: 'active',
          weight: 1,
        });
      }
    }
    return owner;
  }
}

function lost() {
  return Left(UnavailableError.create('the message was lost'));
}

/** Runs contending gangs; each ends `RUN_MILLISECONDS` after its start. */
async function runGangs(cell: Cell, lifetime: number) {
  const answers = Array.from({length: GANGS}, async (_, i) => {
    const gang: GangJob = {
      key: `gang${i}`,
      team: 't',
      service: 's',
      demand: ONE_TASK,
      taskCount: TASKS,
      attempt: 1,
      deadline: cell.clock.wallNow() + lifetime,
      declaredRunMilliseconds: 1,
    };
    const reservation = GangReservation.create({
      clock: cell.clock,
      random: cell.random,
      client: cell.client,
      offers: () => cell.offers(),
    });
    const answer = await reservation.run(gang);
    if (answer.isLeft()) return {key: gang.key, placed: []};
    const end = cell.clock.monotonicNow() + RUN_MILLISECONDS;
    await cell.clock.sleepUntil(end);
    const placed = answer.extract() as PlacedTask[];
    for (const {task, group} of placed) cell.ownerOf(group).release(task);
    return {key: gang.key, placed};
  });
  let isDone = false;
  const all = Promise.all(answers).finally(() => (isDone = true));
  while (!isDone) await cell.clock.advance(50);
  return all;
}

describe('GangReservation', () => {
  // Guards against partly started gangs, and against deadlock and livelock
  // between gangs that contend for the same workers.
  it.each([1, 2, 3])(
    'starts all tasks of 20 contending gangs on 9 owners, seed %i',
    async seed => {
      const cell = new Cell(seed);
      const outcomes = await runGangs(cell, 60_000);
      for (const {key, placed} of outcomes) {
        const indexes = new Set(placed.map(({task}) => task.index));
        expect(indexes.size).toBe(TASKS);
        expect(cell.started.get(key)).toHaveLength(TASKS);
      }
      expect(cell.reservedSlots()).toBe(0);
    },
  );

  // Guards against leaked holds and partly started gangs when requests and
  // answers are lost and deadlines are too short for all gangs.
  it.each([4, 5, 6])(
    'starts all tasks of a gang or none when messages are lost, seed %i',
    async seed => {
      const cell = new Cell(seed);
      cell.lossProbability = 0.02;
      const outcomes = await runGangs(cell, 3_000);
      const started = outcomes.filter(({placed}) => placed.length > 0);
      expect(started.length).toBeGreaterThan(0);
      expect(started.length).toBeLessThan(GANGS);
      for (const {key, placed} of outcomes) {
        expect([0, TASKS]).toContain(placed.length);
        expect(cell.started.get(key) ?? []).toHaveLength(placed.length);
      }
      await cell.clock.advance(10_000);
      for (const owner of cell.owners) owner.schedule(1);
      expect(cell.reservedSlots()).toBe(0);
    },
  );
});
