import type {DesiredState} from '@cardamomfield/cell-model';
import {
  PriorityOrder,
  type Run,
  Scheduler,
  ShardState,
  SubmissionObjective,
  SubmissionRecord,
  WorkerChoice,
  WorkerState,
} from '@cardamomfield/cell-scheduler';
import {ManualClock, SeededRandomSource} from '@cardamomfield/clock';
import {SilentLogger} from '@cardamomfield/logger';
import {MemoryMetrics} from '@cardamomfield/metrics';
import type {createKind} from './submission_kind.js';
import {SubmissionGate} from './submission_gate.js';

const TICK_MILLISECONDS = 20;

/** Submissions of one kind that arrive at random times. */
interface Arrivals {
  /** Mean number in a second. */
  rate: number;
  kind: ReturnType<typeof createKind>;
  team?: string;
}

interface Outcome {
  team: string;
  queue: string;
  isAccepted: boolean;
  retryAfterMilliseconds: number;
  sentAt: number;
  usefulMilliseconds: number;
  endedAt?: number;
}

interface LoadedCellOptions {
  workers?: number;
  /** Mean ratio of the run times to the estimates. */
  bias?: number;
  teams?: DesiredState['teams'];
  refusesUnderLoad?: boolean;
  /** Number of hosts that query the advice service. */
  adviceChannels?: number;
}

/** For tests: a cell under load, with estimates that are off by half. */
export class LoadedCell {
  readonly clock = ManualClock.create();
  readonly metrics = MemoryMetrics.create();
  readonly outcomes: Outcome[] = [];
  readonly gate: SubmissionGate;
  private readonly state = ShardState.create();
  private readonly random = SeededRandomSource.create(7);
  private readonly scheduler = Scheduler.create(
    this.state,
    PriorityOrder.create(),
    WorkerChoice.create(),
  );
  private readonly endTimes = new Map<Run, number>();
  private nextId = 0;

  private constructor(private readonly options: LoadedCellOptions) {
    const {adviceChannels = 1, refusesUnderLoad = true} = options;
    const {teams, workers = 24} = options;
    const desiredState = {
      version: 1,
      queues: [],
      services: [],
      maximumBodyBytes: 1,
      teams,
    };
    this.gate = SubmissionGate.create({
      state: this.state,
      adviceWait: unsentMilliseconds => unsentMilliseconds / adviceChannels,
      policies: {
        refusesUnderLoad,
        ordersByObjective: refusesUnderLoad,
        judgesWorkers: true,
        farPlacePenalty: 1,
      },
      desiredState: () => desiredState,
      clock: this.clock,
      logger: SilentLogger.create(),
      metrics: this.metrics,
      random: () => this.random.fraction(),
    });
    for (let index = 0; index < workers; index++) this.addWorker(`w${index}`);
  }

  static create(options: LoadedCellOptions = {}): LoadedCell {
    return new LoadedCell(options);
  }

  /** Runs the cell for some time under the given arrivals. */
  async run(milliseconds: number, arrivals: Arrivals[] = []): Promise<void> {
    const until = this.clock.monotonicNow() + milliseconds;
    while (this.clock.monotonicNow() < until) {
      await this.clock.advance(TICK_MILLISECONDS);
      this.endRuns();
      for (const {rate, kind, team = ''} of arrivals) {
        const expected = (rate * TICK_MILLISECONDS) / 1_000;
        if (this.random.fraction() < expected) this.submit(kind, team);
      }
      this.schedule();
    }
  }

  submit({queue, specification}: Arrivals['kind'], team = ''): Outcome {
    const submission = SubmissionRecord.create(
      `${this.nextId++}`,
      queue,
      {...specification},
      this.clock.wallNow(),
      undefined,
      team,
    );
    const admitted = this.gate.admit(submission);
    const refusal = admitted.isLeft() ? admitted.extract() : undefined;
    const outcome: Outcome = {
      team,
      queue: queue.name,
      isAccepted: admitted.isRight(),
      retryAfterMilliseconds: Number(refusal?.details.retryAfterMilliseconds),
      sentAt: this.clock.monotonicNow(),
      usefulMilliseconds: SubmissionObjective.create(queue, specification)
        .usefulMilliseconds,
    };
    this.outcomes.push(outcome);
    if (outcome.isAccepted) {
      this.state.add(submission);
      this.accepted.set(submission, outcome);
    }
    return outcome;
  }

  get refused(): Outcome[] {
    return this.outcomes.filter(({isAccepted}) => !isAccepted);
  }

  private readonly accepted = new Map<SubmissionRecord, Outcome>();

  private addWorker(id: string): void {
    const worker = WorkerState.create({
      id,
      service: 'service',
      address: '10.0.0.1:1',
      availabilityZone: 'zone',
      state: 'ready',
      milliCores: 32_000,
      memoryMegabytes: 64_000,
      accelerators: 0,
      labels: [],
      bornAtUnixMilliseconds: 1,
    });
    worker.isUsable = true;
    this.state.workers.set(id, worker);
  }

  private schedule(): void {
    const now = this.clock.monotonicNow();
    const {preemptions} = this.scheduler.pass(
      now,
      this.clock.wallNow(),
      Infinity,
      ({step, task, worker}) => {
        const {specification} = step;
        const run = {
          step,
          task,
          attempt: 1,
          workerId: worker.id,
          phase: 'running',
          milliCores: specification.milliCores,
          memoryMegabytes: specification.memoryMegabytes,
          accelerators: 0,
          placedAt: now,
          runningSince: now,
          progressPercent: 0,
          checkpointedAt: now,
          progressedAt: now,
          load: 0,
          pacePercent: 100,
        } as unknown as Run;
        task.phase = 'placed';
        task.run = run;
        worker.add(run);
        const ratio = (this.options.bias ?? 1) * (0.5 + this.random.fraction());
        const endAt = now + specification.estimatedMilliseconds * ratio;
        this.endTimes.set(run, endAt);
      },
    );
    for (const run of preemptions) {
      this.release(run);
      run.task.phase = 'waiting';
      run.task.notBefore = now;
    }
  }

  private endRuns(): void {
    const now = this.clock.monotonicNow();
    for (const [run, endAt] of [...this.endTimes]) {
      if (endAt > now) continue;
      this.release(run);
      run.task.phase = 'done';
      run.step.doneCount++;
      this.gate.noteDone(run);
      const {submission} = run.step;
      if (!submission.areAllTasksDone) continue;
      this.state.remove(submission);
      this.accepted.get(submission)!.endedAt = now;
    }
  }

  private release(run: Run): void {
    this.endTimes.delete(run);
    this.state.workers.get(run.workerId)?.remove(run);
    run.task.run = undefined;
    run.phase = 'gone';
  }
}
