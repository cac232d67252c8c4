import {
  type Clock,
  type RandomSource,
  SeededRandomSource,
} from '@cardamomfield/clock';
import type {CallOutcome} from './call_outcome.js';
import type {FaultSettings} from './fault_settings.js';
import {Notifier} from './notifier.js';

const NO_FAULTS: FaultSettings = {
  outage: false,
  delayMilliseconds: 0,
  answerDelayMilliseconds: 0,
  loseAnswers: 0,
  loseAnswerRatio: 0,
  silent: false,
  holdWrites: false,
};

/** Seed of the default random source. */
const DEFAULT_SEED = 1;

interface FaultGateOptions {
  clock: Clock;
  /** Selects the answers that `loseAnswerRatio` loses. */
  random?: RandomSource;
}

/** Runs calls and injects the configured faults into them. */
export class FaultInjector {
  private settings = NO_FAULTS;
  private readonly changed: Notifier;
  private readonly listeners: Array<() => void> = [];

  private constructor(
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {
    this.changed = Notifier.create(clock);
  }

  static create(options: FaultGateOptions): FaultInjector {
    const random = options.random ?? SeededRandomSource.create(DEFAULT_SEED);
    return new FaultInjector(options.clock, random);
  }

  /** Changes the given settings and keeps the others. */
  set(settings: Partial<FaultSettings>): void {
    this.settings = {...this.settings, ...settings};
    this.changed.notify();
    for (const listener of this.listeners) listener();
  }

  clear(): void {
    this.set(NO_FAULTS);
  }

  current(): Readonly<FaultSettings> {
    return this.settings;
  }

  /** Registers a listener that is called after each change of settings. */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /** Runs the effect of one call unless a fault prevents it. */
  async call<Answer>(
    isWrite: boolean,
    effect: () => Answer | Promise<Answer>,
  ): Promise<CallOutcome<Answer>> {
    if (this.settings.silent) return {kind: 'silent'};
    if (this.settings.outage) return {kind: 'unavailable'};
    await this.delay(this.settings.delayMilliseconds);
    while (isWrite && this.settings.holdWrites) {
      await this.changed.wait(Infinity);
    }
    const answer = await effect();
    await this.delay(this.settings.answerDelayMilliseconds);
    if (this.settings.silent) return {kind: 'silent'};
    if (this.settings.outage) return {kind: isWrite ? 'lost' : 'unavailable'};
    if (isWrite && this.losesAnswer()) return {kind: 'lost'};
    return {kind: 'answered', answer};
  }

  private async delay(milliseconds: number): Promise<void> {
    if (milliseconds === 0) return;
    await this.clock.sleepUntil(this.clock.monotonicNow() + milliseconds);
  }

  private losesAnswer(): boolean {
    if (this.settings.loseAnswers > 0) {
      const loseAnswers = this.settings.loseAnswers - 1;
      this.settings = {...this.settings, loseAnswers};
      return true;
    }
    if (this.settings.loseAnswerRatio === 0) return false;
    return this.random.fraction() < this.settings.loseAnswerRatio;
  }
}
