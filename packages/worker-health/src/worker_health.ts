import type {Clock} from '@cardamomfield/clock';
import type {z} from 'zod';
import {HealthSettings} from './health_settings.js';
import {OutcomeWindow} from './outcome_window.js';
import type {WorkerPhase} from './worker_phase.js';

/**
 * Share of its normal load that a worker receives while it is probed and at the
 * beginning of its slow start.
 */
const INITIAL_SHARE = 0.1;

/** Latest outcomes that decide whether a service now fails on a worker. */
const SERVICE_FAULT_SAMPLES = 5;
const MINIMUM_SERVICE_FAULT_SAMPLES = 2;

/**
 * Failing workers needed to find a service at fault. A single failing worker
 * is not evidence against a service that no other worker runs.
 */
const MINIMUM_SERVICE_FAULT_WORKERS = 2;

interface WorkerHealthOptions {
  clock: Clock;
  settings?: z.input<typeof HealthSettings>;
  /** Called when the phase of a worker changes. */
  onPhaseChange?: (worker: string, phase: WorkerPhase) => void;
}

interface TaskOutcome {
  worker: string;
  service: string;
  succeeded: boolean;
}

interface WorkerRecord {
  phase: WorkerPhase;
  /** Past ejections that still lengthen the next one. */
  ejections: number;
  /** Monotonic instant at which one ejection stops counting. */
  ejectionExpiresAt: number;
}

interface Tally {
  samples: number;
  failures: number;
}

const HEALTHY: WorkerPhase = {kind: 'healthy'};

/**
 * Ejects workers that fail their tasks, probes them after the ejection and
 * raises their load gradually. Outcomes of unlisted workers are ignored.
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

  /** Sets the workers to monitor and removes the records of all others. */
  setWorkers(names: Iterable<string>): void {
    const listed = new Set(names);
    for (const name of this.workers.keys()) {
      if (!listed.has(name)) this.removeWorker(name);
    }
    for (const name of listed) {
      if (this.workers.has(name)) continue;
      this.workers.set(name, {
        phase: HEALTHY,
        ejections: 0,
        ejectionExpiresAt: 0,
      });
    }
  }

  /** The current phase of a worker. */
  phase(worker: string): WorkerPhase {
    const record = this.workers.get(worker);
    if (!record) return HEALTHY;
    const now = this.clock.monotonicNow();
    const {phase} = record;
    if (phase.kind === 'ejected' && now >= phase.until) {
      this.setPhase(worker, record, {
        kind: 'probing',
        successes: 0,
        probeDeadline: undefined,
      });
    } else if (phase.kind === 'slow-start' && now >= phase.until) {
      this.setPhase(worker, record, HEALTHY);
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

  /** Share of its normal load that a worker should receive, from 0 to 1. */
  loadShare(worker: string): number {
    if (!this.mayStart(worker)) return 0;
    const phase = this.phase(worker);
    if (phase.kind === 'probing') return INITIAL_SHARE;
    if (phase.kind !== 'slow-start') return 1;
    const elapsed = this.clock.monotonicNow() - phase.from;
    const progress = elapsed / (phase.until - phase.from);
    return INITIAL_SHARE + (1 - INITIAL_SHARE) * progress;
  }

  /** Records a start; on a worker in the probing phase it is the probe. */
  recordStart(worker: string, service: string): void {
    if (!this.workers.has(worker)) return;
    const now = this.clock.monotonicNow();
    this.window(worker, service).recordStart(now);
    const phase = this.phase(worker);
    if (phase.kind !== 'probing') return;
    phase.probeDeadline = now + this.settings.probeMilliseconds;
  }

  /** Records the outcome of a task. Cancelled tasks must not be recorded. */
  recordOutcome(outcome: TaskOutcome): void {
    const record = this.workers.get(outcome.worker);
    if (!record) return;
    const phase = this.phase(outcome.worker);
    const now = this.clock.monotonicNow();
    this.window(outcome.worker, outcome.service).add(outcome.succeeded, now);
    if (phase.kind === 'ejected') return;
    if (phase.kind === 'probing') this.evaluateProbe(record, outcome);
    else if (!outcome.succeeded) this.evaluateFailure(record, outcome);
  }

  /**
   * Whether a service fails on more than the configured share of the workers
   * that have run it recently.
   */
  isServiceAtFault(service: string): boolean {
    const now = this.clock.monotonicNow();
    let active = 0;
    let failing = 0;
    for (const window of this.windows.get(service)?.values() ?? []) {
      if (!window.isActive(now)) continue;
      active++;
      const {samples, failures} = window.tally(now, SERVICE_FAULT_SAMPLES);
      if (samples < MINIMUM_SERVICE_FAULT_SAMPLES) continue;
      if (failures >= samples * this.settings.failureRatio) failing++;
    }
    if (failing < MINIMUM_SERVICE_FAULT_WORKERS) return false;
    return failing > active * this.settings.serviceFaultShare;
  }

  private evaluateProbe(
    record: WorkerRecord,
    {worker, service, succeeded}: TaskOutcome,
  ): void {
    const {phase} = record;
    // Without a probe in flight the task was started before the ejection.
    if (phase.kind !== 'probing' || phase.probeDeadline === undefined) return;
    phase.probeDeadline = undefined;
    if (!succeeded) {
      if (!this.isServiceAtFault(service)) this.eject(worker, record, service);
      return;
    }
    phase.successes++;
    if (phase.successes >= this.settings.probes) this.restore(worker, record);
  }

  private evaluateFailure(
    record: WorkerRecord,
    {worker, service}: TaskOutcome,
  ): void {
    // Most failures are isolated. Only the others need the more expensive
    // check of all workers of the service.
    const isSuspect = this.isFailing(this.tally(worker, []));
    if (!isSuspect && !this.hasEjectionFor(service)) return;
    const faulty = this.faultyServices(worker);
    if (faulty.includes(service)) this.reinstateWorkers(service);
    if (!this.isFailing(this.tally(worker, faulty))) return;
    if (this.mayEjectAnother()) this.eject(worker, record, service);
  }

  private isFailing({samples, failures}: Tally): boolean {
    if (samples < this.settings.minimumSamples) return false;
    return failures >= samples * this.settings.failureRatio;
  }

  private hasEjectionFor(service: string): boolean {
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

  /** Counts the outcomes of a worker, without those of excluded services. */
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
    this.expireEjections(record, now);
    const longest = this.settings.maximumEjectionMilliseconds;
    const doubled =
      this.settings.firstEjectionMilliseconds * 2 ** record.ejections;
    const until = now + Math.min(doubled, longest);
    record.ejections++;
    record.ejectionExpiresAt = until + this.settings.forgivenessMilliseconds;
    this.setPhase(worker, record, {kind: 'ejected', until, service});
  }

  private expireEjections(record: WorkerRecord, now: number): void {
    while (record.ejections > 0 && now >= record.ejectionExpiresAt) {
      record.ejections--;
      record.ejectionExpiresAt += this.settings.forgivenessMilliseconds;
    }
  }

  private restore(worker: string, record: WorkerRecord): void {
    for (const workers of this.windows.values()) workers.get(worker)?.clear();
    const from = this.clock.monotonicNow();
    const until = from + this.settings.slowStartMilliseconds;
    this.setPhase(worker, record, {kind: 'slow-start', from, until});
  }

  /** Reinstates workers that were ejected because of the service. */
  private reinstateWorkers(service: string): void {
    for (const [worker, record] of this.workers) {
      const {phase} = record;
      if (phase.kind !== 'ejected' || phase.service !== service) continue;
      record.ejections--;
      this.setPhase(worker, record, HEALTHY);
    }
  }

  private setPhase(
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

  private removeWorker(worker: string): void {
    this.workers.delete(worker);
    for (const [service, workers] of this.windows) {
      workers.delete(worker);
      if (workers.size === 0) this.windows.delete(service);
    }
  }
}
