import type {Adviser, StartOutcome} from '@cardamomfield/cell-model';
import type {ManualClock} from '@cardamomfield/clock';
import {Right} from 'purify-ts';
import {expect, it} from 'vitest';
import {CellHarness} from './cell_harness.js';
import {createSubmission} from './plain_submission.js';
import {replaceLinkCalls} from './replace_link_calls.js';
import type {SimulatedOwnerHost} from './simulated_owner_host.js';

const ID = '00000000000000aa';

const ADVICE = {
  decisionMilliseconds: 100,
  perWorkerMilliseconds: 1,
  validMilliseconds: 1_000,
};

/** Longer than a ticket is valid, but no outage of the log. */
const SLOW_ANSWER_MILLISECONDS = 1_500;

/**
 * A cell with an advice service that approves a single worker of three. Workers
 * refuse starts with an expired ticket. Each ticket names its time of issue.
 */
class AdvisedCell {
  private clock: ManualClock | undefined;
  readonly harness: CellHarness;
  refusedStarts = 0;

  private constructor(private readonly alwaysRefusedCount: number) {
    const adviser: Adviser = {
      ask: async (_stepName, workerIds) => {
        await this.sleep(ADVICE.decisionMilliseconds);
        const ticket = String(this.now());
        const approved = workerIds.filter(id => id === 'approved');
        return Right({
          tickets: new Map(approved.map(id => [id, ticket])),
          validMilliseconds: ADVICE.validMilliseconds,
        });
      },
    };
    this.harness = CellHarness.create({
      seed: 5,
      workerIds: ['first', 'approved', 'last'],
      overrides: {
        adviser,
        wrapLink: link =>
          replaceLinkCalls(link, {
            start: async order => {
              const age = this.now() - Number(order.ticket);
              const isAccepted =
                age <= ADVICE.validMilliseconds &&
                this.refusedStarts >= this.alwaysRefusedCount;
              if (isAccepted) return link.start(order);
              this.refusedStarts++;
              return REFUSED;
            },
          }),
      },
    });
    this.clock = this.harness.virtualClock;
  }

  /** Refuses the first starts even if their tickets have not expired. */
  static create(alwaysRefusedCount = 0): AdvisedCell {
    return new AdvisedCell(alwaysRefusedCount);
  }

  private now(): number {
    return this.clock?.monotonicNow() ?? 0;
  }

  private async sleep(milliseconds: number): Promise<void> {
    await this.clock?.sleepUntil(this.now() + milliseconds);
  }
}

const REFUSED: StartOutcome = {
  kind: 'refused',
  reason: 'ticket-expired',
  clock: 0,
};

async function startOwner(cell: AdvisedCell): Promise<SimulatedOwnerHost> {
  const {virtualClock} = cell.harness;
  const host = cell.harness.addHost('host');
  void host.claim(0);
  await virtualClock.advance(2_300);
  const {queue, specification} = createSubmission(1);
  specification.steps.splice(1);
  void host.owner?.submit(ID, {...queue, advice: ADVICE}, specification);
  await virtualClock.advance(ADVICE.decisionMilliseconds / 2);
  return host;
}

// Guards against a step that never uses its only approved worker again after
// that worker refused an expired ticket (rule LOST).
it('uses an approved worker again after it refused an expired ticket', async () => {
  const cell = AdvisedCell.create(1);
  const host = await startOwner(cell);
  await cell.harness.virtualClock.advance(20_000);
  expect(cell.refusedStarts).toBe(1);
  expect(host.owner?.describe(ID)).toBe('completed');
  host.kill();
});

// Guards against starts that are sent although their ticket expired while their
// intent was being recorded: the worker refuses them.
it('does not send a start whose ticket has expired', async () => {
  const cell = AdvisedCell.create();
  const host = await startOwner(cell);
  host.log.answerMilliseconds = SLOW_ANSWER_MILLISECONDS;
  await cell.harness.virtualClock.advance(SLOW_ANSWER_MILLISECONDS);
  host.log.answerMilliseconds = 0;
  await cell.harness.virtualClock.advance(20_000);
  expect(cell.refusedStarts).toBe(0);
  expect(host.owner?.describe(ID)).toBe('completed');
  host.kill();
});
