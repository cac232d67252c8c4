import type {Adviser} from '@cardamomfield/cell-model';
import {
  type StepState,
  SubmissionRecord,
  WorkerState,
} from '@cardamomfield/cell-scheduler';
import {ManualClock} from '@cardamomfield/clock';
import {SilentLogger} from '@cardamomfield/logger';
import {MemoryMetrics} from '@cardamomfield/metrics';
import {Right} from 'purify-ts';
import {beforeEach, describe, expect, it} from 'vitest';
import {AdviceDispatcher} from './advice_dispatcher.js';

const ADVICE = {
  decisionMilliseconds: 400,
  perWorkerMilliseconds: 10,
  validMilliseconds: 2_500,
};

/** Time that the service needs to answer a query that names one worker. */
const ANSWER_MILLISECONDS =
  ADVICE.decisionMilliseconds + ADVICE.perWorkerMilliseconds;

describe('AdviceDispatcher', () => {
  let clock: ManualClock;

  beforeEach(() => {
    clock = ManualClock.create();
  });

  function createDispatcher(ask: Adviser['ask']): AdviceDispatcher {
    return AdviceDispatcher.create({
      channels: () => [{hostName: 'host', adviser: {ask}}],
      workers: new Map([['w', createWorker()]]),
      clock,
      logger: SilentLogger.create(),
      metrics: MemoryMetrics.create(),
      onChange: () => {},
    });
  }

  // Guards against starts with expired tickets: an answer that a relaying host
  // or the network held up is older than it looks.
  it('does not add the delay of an answer to the validity of its tickets', async () => {
    const step = createStep('a');
    const dispatcher = createDispatcher(async () => {
      await clock.sleepUntil(ANSWER_MILLISECONDS + 1_000);
      return Right({
        tickets: new Map([['w', 't']]),
        validMilliseconds: ADVICE.validMilliseconds,
      });
    });
    dispatcher.send([{step, workerIds: ['w']}]);
    await clock.advance(ANSWER_MILLISECONDS + 1_000);
    expect(step.advice.tickets.get('w')?.validUntil).toBe(
      ANSWER_MILLISECONDS + ADVICE.validMilliseconds,
    );
  });

  // Guards against tickets that are thrown away: the service answers the
  // queries of one host in turn, so a second answer takes twice as long.
  it('counts the validity of tickets from their turn at the service', async () => {
    const steps = [createStep('a'), createStep('b')];
    let answers = 0;
    const dispatcher = createDispatcher(async () => {
      await clock.sleepUntil(++answers * ANSWER_MILLISECONDS);
      return Right({
        tickets: new Map([['w', 't']]),
        validMilliseconds: ADVICE.validMilliseconds,
      });
    });
    dispatcher.send(steps.map(step => ({step, workerIds: ['w']})));
    await clock.advance(2 * ANSWER_MILLISECONDS);
    expect(steps.map(step => step.advice.tickets.get('w')?.validUntil)).toEqual(
      [
        ANSWER_MILLISECONDS + ADVICE.validMilliseconds,
        2 * ANSWER_MILLISECONDS + ADVICE.validMilliseconds,
      ],
    );
  });

  // Guards against a step that is never queried again, and a channel that looks
  // busy for ever, after an unexpected error of the client.
  it('queries again after a client has raised an error', async () => {
    const step = createStep('a');
    let calls = 0;
    const dispatcher = createDispatcher(async () => {
      calls++;
      throw new SyntaxError('unexpected');
    });
    for (let query = 1; query <= 20; query++) {
      dispatcher.send([{step, workerIds: ['w']}]);
      expect(step.advice.isQueryInFlight).toBe(true);
      await clock.advance(2_000);
      expect({query, calls}).toEqual({query, calls: query});
      expect(step.advice.isQueryInFlight).toBe(false);
    }
  });

  // Guards against the same by a call that is never answered.
  it('gives up a query that is not answered in time', async () => {
    const step = createStep('a');
    const dispatcher = createDispatcher(() => new Promise(() => {}));
    dispatcher.send([{step, workerIds: ['w']}]);
    await clock.advance(5_000);
    expect(step.advice.isQueryInFlight).toBe(false);
  });
});

function createWorker(): WorkerState {
  return WorkerState.create({
    id: 'w',
    service: 'service',
    address: '10.0.0.1:1',
    availabilityZone: 'zone',
    state: 'ready',
    milliCores: 4_000,
    memoryMegabytes: 4_000,
    accelerators: 0,
    labels: [],
    bornAtUnixMilliseconds: 1,
  });
}

function createStep(id: string): StepState {
  const submission = SubmissionRecord.create(
    id,
    {
      name: 'queue',
      host: 'host',
      pathPrefix: '/',
      service: 'service',
      priority: 1,
      maximumAttempts: 3,
      stretchFactor: 1,
      targetLatencyMilliseconds: 400,
      timeoutMilliseconds: 3_000,
      advice: ADVICE,
    },
    {
      payload: '',
      steps: [
        {
          taskCount: 1,
          milliCores: 1_000,
          memoryMegabytes: 100,
          accelerators: 0,
          estimatedMilliseconds: 1_000,
          dependsOn: [],
          isGang: false,
          isTightlyCoupled: false,
          requiredLabel: '',
          dataRack: '',
          maximumPerWorker: 0,
          savesCheckpoints: false,
          allowsCopies: false,
          isService: false,
          image: '',
          tailTargetMilliseconds: 0,
          usesSpareCapacity: false,
          maximumUnavailable: 0,
        },
      ],
      occurrenceCount: 0,
      firstOccurrenceAtUnixMilliseconds: 0,
      occurrenceIntervalMilliseconds: 0,
    },
    0,
  );
  const [step] = submission.stepsOf(0);
  if (!step) throw new RangeError('the submission has no step');
  return step;
}
