import type {Clock} from '@cardamomfield/clock';
import type {z} from 'zod';
import {HealthSettings} from './health_settings.js';
import {OutcomeWindow} from './outcome_window.js';
import type {WorkerPhase} from './worker_phase.js';

/** Share of its load that a worker gets at the beginning of slow start. */
const INITIAL_SHARE = 0.1;

/** Latest outcomes that show whether a service fails on a worker now. */
const FAULT_SAMPLES = 5;
const MINIMUM_FAULT_SAMPLES = 2;

/** One failing worker says nothing about a service that no other runs. */
const MINIMUM_FAULT_WORKERS = 2;

interface WorkerHealthOptions {
  clock: Clock;
  settings?: z.input<typeof HealthSettings>;
  /** Called when a worker changes to another phase. */
  onPhaseChange?: (worker: string, phase: WorkerPhase) => void;
}

interface TaskOutcome {
  worker: string;
  service: string;
  succeeded: boolean;
}

interface WorkerRecord {
  phase: WorkerPhase;
  /** Ejections that have not been forgiven. */
  ejections: number;
  /** Monotonic instant at which one ejection is forgiven. */
  forgivenAt: number;
}

interface Tally {
  samples: number;
  failures: number;
}

const HEALTHY: WorkerPhase = {kind: 'healthy'};

/**
 * Takes workers that fail their tasks out of use, probes them after a while
 * and returns them slowly. Outcomes of unlisted workers are ignored.
 */
export class WorkerHealth {
  private readonly workers = new Map<string, WorkerRecord>();
  private readonly windows = new Map<string, Map<string, OutcomeWindow>>();

  private constructor(
    private readonly clock: Clock,
    private readonly settings: HealthSettings,
    private readonly onPhaseChange: (
      worker: string,
      phase: WorkerPhase,
    ) => void,
  ) {}

  static create(options: WorkerHealthOptions): WorkerHealth {
    const settings = HealthSettings.parse(options.settings ?? {});
    const onPhaseChange = options.onPhaseChange ?? (() => {});
    return new WorkerHealth(options.clock, settings, onPhaseChange);
  }

  /** Lists the workers that are judged; others are forgotten. */
  setWorkers(names: Iterable<string>): void {
    const wanted = new Set(names);
    for (const name of this.workers.keys()) {
      if (!wanted.has(name)) this.forget(name);
    }
    for (const name of wanted) {
      if (this.workers.has(name)) continue;
      this.workers.set(name, {phase: HEALTHY, ejections: 0, forgivenAt: 0});
    }
  }

  /** The present phase of a worker. */
  phase(worker: string): WorkerPhase {
    const record = this.workers.get(worker);
    if (!record) return HEALTHY;
    const now = this.clock.monotonicNow();
    const {phase} = record;
    if (phase.kind === 'ejected' && now >= phase.until) {
      this.change(worker, record, {
        kind: 'probing',
        successes: 0,
        probeDeadline: undefined,
      });
    } else if (phase.kind === 'slow-start' && now >= phase.until) {
      this.change(worker, record, HEALTHY);
    }
    return record.phase;
  }

  /** Whether a task may be started on a worker now. */
  mayStart(worker: string): boolean {
    const phase = this.phase(worker);
    if (phase.kind === 'ejected') return false;
    if (phase.kind !== 'probing' || phase.probeDeadline === undefined) {
      return true;
    }
    return this.clock.monotonicNow() >= phase.probeDeadline;
  }

  /** Share of its ordinary load that a worker should get, from 0 to 1. */
  share(worker: string): number {
    if (!this.mayStart(worker)) return 0;
    const phase = this.phase(worker);
    if (phase.kind === 'probing') return INITIAL_SHARE;
    if (phase.kind !== 'slow-start') return 1;
    const elapsed = this.clock.monotonicNow() - phase.from;
    const progress = elapsed / (phase.until - phase.from);
    return INITIAL_SHARE + (1 - INITIAL_SHARE) * progress;
  }

  /** Notes a start; on a worker that is probed it is the probe. */
  noteStart(worker: string, service: string): void {
    if (!this.workers.has(worker)) return;
    const now = this.clock.monotonicNow();
    this.window(worker, service).noteStart(now);
    const phase = this.phase(worker);
    if (phase.kind !== 'probing') return;
    phase.probeDeadline = now + this.settings.probeMilliseconds;
  }

  /** Notes how a task ended. Cancelled tasks are not outcomes. */
  noteOutcome(outcome: TaskOutcome): void {
    const record = this.workers.get(outcome.worker);
    if (!record) return;
    const phase = this.phase(outcome.worker);
    const now = this.clock.monotonicNow();
    this.window(outcome.worker, outcome.service).add(outcome.succeeded, now);
    if (phase.kind === 'ejected') return;
    if (phase.kind === 'probing') this.judgeProbe(record, outcome);
    else if (!outcome.succeeded) this.judge(record, outcome);
  }

  /** Whether a service fails on most of the workers that have lately run it. */
  isServiceAtFault(service: string): boolean {
    const now = this.clock.monotonicNow();
    let active = 0;
    let failing = 0;
    for (const window of this.windows.get(service)?.values() ?? []) {
      if (!window.isActive(now)) continue;
      active++;
      const {samples, failures} = window.tally(now, FAULT_SAMPLES);
      if (samples < MINIMUM_FAULT_SAMPLES) continue;
      if (failures >= samples * this.settings.failureRatio) failing++;
    }
    if (failing < MINIMUM_FAULT_WORKERS) return false;
    return failing > active * this.settings.serviceFaultShare;
  }

  private judgeProbe(
    record: WorkerRecord,
    {worker, service, succeeded}: TaskOutcome,
  ): void {
    const {phase} = record;
    // Without a probe under way the task was started before the ejection.
    if (phase.kind !== 'probing' || phase.probeDeadline === undefined) return;
    phase.probeDeadline = undefined;
    if (!succeeded) {
      if (!this.isServiceAtFault(service)) this.eject(worker, record, service);
      return;
    }
    phase.successes++;
    if (phase.successes >= this.settings.probes) this.restore(worker, record);
  }

  private judge(record: WorkerRecord, {worker, service}: TaskOutcome): void {
    // Most failures are single ones; only the others need the costlier look
    // at all workers of the service.
    const isSuspect = this.isFailing(this.tally(worker, []));
    if (!isSuspect && !this.hasEjectedFor(service)) return;
    const faulty = this.faultyServices(worker);
    if (faulty.includes(service)) this.pardon(service);
    if (!this.isFailing(this.tally(worker, faulty))) return;
    if (this.mayEjectAnother()) this.eject(worker, record, service);
  }

  private isFailing({samples, failures}: Tally): boolean {
    if (samples < this.settings.minimumSamples) return false;
    return failures >= samples * this.settings.failureRatio;
  }

  private hasEjectedFor(service: string): boolean {
    for (const {phase} of this.workers.values()) {
      if (phase.kind === 'ejected' && phase.service === service) return true;
    }
    return false;
  }

  private faultyServices(worker: string): string[] {
    return [...this.windows.keys()].filter(
      service =>
        this.windows.get(service)?.has(worker) &&
        this.isServiceAtFault(service),
    );
  }

  /** Outcomes of a worker, without those of the excluded services. */
  private tally(worker: string, excluded: readonly string[]): Tally {
    const now = this.clock.monotonicNow();
    const total = {samples: 0, failures: 0};
    for (const [service, workers] of this.windows) {
      if (excluded.includes(service)) continue;
      const tally = workers.get(worker)?.tally(now);
      total.samples += tally?.samples ?? 0;
      total.failures += tally?.failures ?? 0;
    }
    return total;
  }

  private mayEjectAnother(): boolean {
    let ejected = 0;
    for (const {phase} of this.workers.values()) {
      if (phase.kind === 'ejected' || phase.kind === 'probing') ejected++;
    }
    const share = this.settings.maximumEjectedShare;
    return ejected + 1 <= this.workers.size * share;
  }

  private eject(worker: string, record: WorkerRecord, service: string): void {
    const now = this.clock.monotonicNow();
    this.forgive(record, now);
    const longest = this.settings.maximumEjectionMilliseconds;
    const grown =
      this.settings.firstEjectionMilliseconds * 2 ** record.ejections;
    const until = now + Math.min(grown, longest);
    record.ejections++;
    record.forgivenAt = until + this.settings.forgivenessMilliseconds;
    this.change(worker, record, {kind: 'ejected', until, service});
  }

  private forgive(record: WorkerRecord, now: number): void {
    while (record.ejections > 0 && now >= record.forgivenAt) {
      record.ejections--;
      record.forgivenAt += this.settings.forgivenessMilliseconds;
    }
  }

  private restore(worker: string, record: WorkerRecord): void {
    for (const workers of this.windows.values()) workers.get(worker)?.clear();
    const from = this.clock.monotonicNow();
    const until = from + this.settings.slowStartMilliseconds;
    this.change(worker, record, {kind: 'slow-start', from, until});
  }

  /** Returns workers that were ejected for a fault of the service. */
  private pardon(service: string): void {
    for (const [worker, record] of this.workers) {
      const {phase} = record;
      if (phase.kind !== 'ejected' || phase.service !== service) continue;
      record.ejections--;
      this.change(worker, record, HEALTHY);
    }
  }

  private change(
    worker: string,
    record: WorkerRecord,
    phase: WorkerPhase,
  ): void {
    record.phase = phase;
    this.onPhaseChange(worker, phase);
  }

  private window(worker: string, service: string): OutcomeWindow {
    const {windowSamples, windowMilliseconds} = this.settings;
    let workers = this.windows.get(service);
    if (!workers) this.windows.set(service, (workers = new Map()));
    let window = workers.get(worker);
    if (!window) {
      window = OutcomeWindow.create(windowSamples, windowMilliseconds);
      workers.set(worker, window);
    }
    return window;
  }

  private forget(worker: string): void {
    this.workers.delete(worker);
    for (const [service, workers] of this.windows) {
      workers.delete(worker);
      if (workers.size === 0) this.windows.delete(service);
    }
  }
}
