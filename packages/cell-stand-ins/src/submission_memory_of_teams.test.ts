import {type Team, digestKey} from '@cardamomfield/cell-model';
import {UnavailableError} from '@cardamomfield/errors';
import {afterEach, beforeEach, expect, it} from 'vitest';
import {CellHarness} from './cell_harness.js';
import {createSubmission} from './plain_submission.js';
import type {SimulatedOwnerHost} from './simulated_owner_host.js';

const TEAMS: Team[] = ['greedy', 'other', 'third'].map(name => ({
  name,
  keys: [name],
  weight: 1,
  limit: {milliCores: 0, memoryMegabytes: 0, accelerators: 0},
}));

/** More submissions than the owner's memory holds. */
const MANY = 100;

/** Rounds after which endings have taken what cancelled work left. */
const ROUNDS = 100;

let harness: CellHarness;
let host: SimulatedOwnerHost;
let count = 0;

beforeEach(async () => {
  harness = CellHarness.create({
    seed: 1,
    workerIds: [],
    overrides: {
      limits: {memoryBytes: 400_000},
      desiredState: () => ({
        version: 1,
        queues: [],
        services: [],
        maximumBodyBytes: 0,
        teams: TEAMS,
      }),
    },
  });
  host = harness.addHost('host');
  void host.claim(0);
  await harness.virtualClock.advance(2_300);
});

afterEach(() => host.kill());

/** The outcome of a submission of a team, or of a public queue. */
async function submit(team = '') {
  const id = (count++).toString(16).padStart(16, '0');
  const {queue, specification} = createSubmission(1);
  const keyDigest = team === '' ? '' : digestKey(team);
  const caller = {team, keyDigest, version: 1};
  const submitted = host.owner!.submit(id, queue, specification, caller);
  await harness.virtualClock.advance(20);
  return {id, outcome: (await submitted).extract()};
}

async function submitMany(team?: string): Promise<string[]> {
  const accepted: string[] = [];
  for (let index = 0; index < MANY; index++) {
    const {id, outcome} = await submit(team);
    if (outcome instanceof Error) {
      expect(outcome).toBeInstanceOf(UnavailableError);
    } else {
      accepted.push(id);
    }
  }
  expect(accepted.length).toBeLessThan(MANY);
  return accepted;
}

// Guards against one team whose work takes all of the owner's memory, so that
// no other team can submit anything until that work has ended.
it('leaves memory for the submissions of other teams', async () => {
  await submitMany('greedy');
  expect((await submit('other')).outcome).not.toBeInstanceOf(Error);
  await submitMany('other');
  expect((await submit('third')).outcome).not.toBeInstanceOf(Error);
});

// Guards against the same by the endings of a team that cancels its work.
it('counts the endings of a team for it', async () => {
  for (let round = 0; round < ROUNDS; round++) {
    for (const id of await submitMany('greedy')) void host.owner!.cancel(id);
    await harness.virtualClock.advance(100);
  }
  expect((await submit('other')).outcome).not.toBeInstanceOf(Error);
});

// Guards against the same by callers of public queues, who have no team.
it('leaves memory for teams beside public queues', async () => {
  await submitMany();
  expect((await submit('other')).outcome).not.toBeInstanceOf(Error);
});
