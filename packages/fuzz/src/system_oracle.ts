import {isDeepStrictEqual} from 'node:util';
import {InternalError} from '@cardamomfield/errors';
import {type FinalAnswer, RESOURCE_NAMES} from '@cardamomfield/types';
import type {SimulatedRequest} from './simulated_request.js';
import type {SimulatedSystem} from './simulated_system.js';

/** A worker must get no new work this long after it is listed as leaving. */
const LEAVING_LIMIT_MILLISECONDS = 3_000;

/** Checks guarantees that must always hold, by the workers' own records. */
export class SystemOracle {
  private readonly versionsByHost = new Map<string, number>();
  private checkedStartCount = 0;

  private constructor(private readonly system: SimulatedSystem) {}

  static create(system: SimulatedSystem): SystemOracle {
    return new SystemOracle(system);
  }

  /** Throws on the first violation. */
  check(): void {
    this.checkCapacity();
    this.checkSingleCopies();
    this.checkLeaving();
    this.checkVersions();
    this.system.requests.forEach(request => this.checkRequest(request));
    this.checkSameAnswers();
  }

  private checkCapacity(): void {
    const {ledger, workerNames} = this.system;
    const capacity = this.system.capacity();
    for (const worker of workerNames) {
      const peak = ledger.peakReserved(worker);
      for (const name of RESOURCE_NAMES) {
        if (peak[name] > capacity[name]) {
          fail(
            'G1',
            `${worker} reserved ${peak[name]} of ${name}, above its capacity`,
          );
        }
      }
    }
  }

  private checkSingleCopies(): void {
    const [overlap] = this.system.ledger.overlaps();
    if (overlap) fail('G2', `two copies overlap: ${JSON.stringify(overlap)}`);
  }

  private checkLeaving(): void {
    const {ledger, leavingSince} = this.system;
    const starts = ledger.all();
    for (const start of starts.slice(this.checkedStartCount)) {
      const since = leavingSince.get(start.worker);
      if (since === undefined) continue;
      if (start.startedAt > since + LEAVING_LIMIT_MILLISECONDS) {
        fail(
          'G6',
          `task started on a leaving worker: ${JSON.stringify(start)}`,
        );
      }
    }
    this.checkedStartCount = starts.length;
  }

  private checkVersions(): void {
    for (const host of this.system.liveHosts()) {
      const version = host.parts.configuration.current()?.version;
      if (version === undefined) continue;
      const before = this.versionsByHost.get(host.name) ?? -1;
      if (version < before) {
        fail(
          'G8',
          `${host.name} went back from version ${before} to ${version}`,
        );
      }
      this.versionsByHost.set(host.name, version);
    }
  }

  private checkRequest(request: SimulatedRequest): void {
    const {ledger} = this.system;
    const {key, submission, answer} = request;
    const starts = ledger.startsOf(key);
    if (!submission.idempotent && starts > submission.taskCount) {
      fail('G5', `non-idempotent ${key} started ${starts} times`);
    }
    if (answer?.outcome === 'not-run' && this.startedForThisCall(request)) {
      fail('G4', `${key} was answered as not run but started`);
    }
    const isRefused = !request.isKeyChosen && request.failure !== undefined;
    if (isRefused && starts > 0) {
      fail('G4', `${key} was refused with ${request.failure} but started`);
    }
    if (answer?.outcome === 'ran') this.checkResults(request);
  }

  /**
   * Whether tasks started for this call. A key may be reused, so starts count
   * only if no other call of the key may have caused them.
   */
  private startedForThisCall(request: SimulatedRequest): boolean {
    const others = this.system.requests.filter(
      each => each.key === request.key && each !== request,
    );
    const isShared = others.some(each => each.answer?.outcome !== 'not-run');
    return !isShared && this.system.ledger.startsOf(request.key) > 0;
  }

  private checkResults(request: SimulatedRequest): void {
    const {answer, submission} = request;
    if (answer?.outcome !== 'ran') return;
    const count = answer.results.length + answer.notRun.length;
    if (count !== submission.taskCount) {
      fail(
        'G3',
        `${request.key} got ${count} outcomes for ${submission.taskCount} tasks`,
      );
    }
    const {value} = submission.payload as {value: string};
    for (const result of answer.results) {
      if (result.succeeded && submission.kind !== 'service') {
        if (result.value !== value) {
          fail(
            'G3',
            `${request.key} got a wrong result: ${JSON.stringify(result)}`,
          );
        }
      }
    }
  }

  /**
   * Checks that all callers of a key get the same `ran` answer. Other answers
   * may differ, since an outcome in doubt may be resolved later.
   */
  private checkSameAnswers(): void {
    const answers = new Map<string, FinalAnswer>();
    for (const {key, answer} of this.system.requests) {
      if (answer?.outcome !== 'ran') continue;
      const other = answers.get(key);
      if (other && !isDeepStrictEqual(other, answer)) {
        const both = JSON.stringify([other, answer]);
        fail('G3', `${key} got two different answers: ${both}`);
      }
      answers.set(key, answer);
    }
  }
}

/**
 * Throws a violation of a guarantee: G1 capacity of workers, G2 one copy of a
 * task, G3 results, G4 requests that did not run, G5 starts of non-idempotent
 * tasks, G6 leaving workers, G8 configuration versions.
 */
function fail(guarantee: string, message: string): never {
  throw InternalError.create(`${guarantee}: ${message}`);
}
