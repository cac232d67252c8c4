import {InternalError} from '@cardamomfield/errors';
import type fc from 'fast-check';
import {demandOf} from './demand_of.js';
import {SimulatedSystem} from './simulated_system.js';
import type {systemOperation} from './system_operation.js';
import {SystemOracle} from './system_oracle.js';

type Operation =
  typeof systemOperation extends fc.Arbitrary<infer Value> ? Value : never;

/** Virtual time within which all requests must end after the faults. */
const RECOVERY_MILLISECONDS = 180_000;

/** Virtual time between two checks. */
const CHECK_MILLISECONDS = 100;

/** Applies random operations to a system and checks it after each. */
export class SystemRun {
  private readonly pauses: Array<Promise<void>> = [];

  private constructor(
    private readonly system: SimulatedSystem,
    private readonly oracle: SystemOracle,
  ) {}

  /** Builds a system for one run. */
  static async create(seed: number): Promise<SystemRun> {
    const system = await SimulatedSystem.create({
      seed,
      entryHosts: 3,
      racks: 3,
      workersPerRack: 2,
    });
    return new SystemRun(system, SystemOracle.create(system));
  }

  /** Runs all operations, ends all faults and waits for all outcomes. */
  async run(operations: readonly Operation[]): Promise<void> {
    try {
      for (const operation of operations) {
        await this.apply(operation);
        this.oracle.check();
      }
      await this.heal();
      await this.awaitOutcomes();
    } finally {
      this.system.close();
    }
  }

  /** Number of callers by outcome. */
  outcomes(): Readonly<Record<string, number>> {
    const counts: Record<string, number> = {};
    for (const request of this.system.requests) {
      const outcome = request.answer?.outcome ?? request.failure ?? 'none';
      counts[outcome] = (counts[outcome] ?? 0) + 1;
    }
    return counts;
  }

  private async apply(operation: Operation): Promise<void> {
    const {system} = this;
    switch (operation.type) {
      case 'submit':
        return this.submit(operation);
      case 'cancel':
        return this.cancel(operation);
      case 'advance':
        return this.advance(operation.milliseconds);
      case 'kill':
        // A majority stays alive, so that all requests can end.
        if (system.liveHosts().length > 2) {
          system.killHost(this.hostName(operation.host));
        }
        return;
      case 'restart':
        return system.startHost(this.hostName(operation.host));
      case 'pause':
        return this.pause(operation);
      case 'cut':
        return this.cut(operation);
      case 'heal':
        return system.hub.healAll();
      case 'log-outage':
        return system.log.faults.set({outage: operation.isOn});
      case 'lose-append-answers':
        return system.log.faults.set({loseAnswers: operation.count});
      case 'lose-start-answers':
        return this.worker(operation.worker)?.faults.set({
          loseAnswers: operation.count,
        });
      case 'cut-worker':
        return this.host(operation.host)?.setWorkerCut(
          this.workerName(operation.worker),
          operation.isOn,
        );
      case 'hold-commands':
        return this.host(operation.host)?.setCommandsHeld(
          this.workerName(operation.worker),
          operation.isOn,
        );
      case 'restart-worker':
        return this.worker(operation.worker)?.restart();
      case 'fail-everything':
        return this.worker(operation.worker)?.setBehaviour({
          failEveryTask: operation.isOn,
        });
      case 'leave':
        return this.leave(operation);
      case 'edit':
        return this.edit(operation);
    }
  }

  private submit(operation: Extract<Operation, {type: 'submit'}>): void {
    const {system} = this;
    const number = system.requests.length;
    const isKeyChosen = operation.keyNumber !== undefined;
    const key = isKeyChosen
      ? `key-${operation.keyNumber}`
      : `generated-${number}`;
    const earlier = system.requests.find(request => request.key === key);
    const isIdempotent = operation.isIdempotent || operation.kind === 'service';
    const fields = earlier?.submission ?? {
      kind: operation.kind as 'interactive',
      idempotent: isIdempotent,
      taskCount: operation.taskCount,
      demand: demandOf(operation.size),
      payload: {
        runMilliseconds: operation.runMilliseconds,
        value: `value of ${key}`,
      },
    };
    const deadline = system.clock.wallNow() + operation.deadlineMilliseconds;
    const host = this.hostName(operation.host);
    system.submit({...fields, key, deadline}, isKeyChosen, host);
  }

  private cancel(operation: Extract<Operation, {type: 'cancel'}>): void {
    const request = this.system.requests[operation.request];
    if (request) {
      void this.host(operation.host)?.parts.requests.cancel(request.key);
    }
  }

  private async advance(milliseconds: number): Promise<void> {
    const {clock} = this.system;
    const end = clock.monotonicNow() + milliseconds;
    while (clock.monotonicNow() < end) {
      const remaining = end - clock.monotonicNow();
      await clock.advance(Math.min(CHECK_MILLISECONDS, remaining));
      this.oracle.check();
    }
  }

  private pause(operation: Extract<Operation, {type: 'pause'}>): void {
    const host = this.host(operation.host);
    if (!host) return;
    const {clock} = this.system;
    host.pause();
    const resume = async () => {
      await clock.sleepUntil(clock.monotonicNow() + operation.milliseconds);
      if (!host.signal.aborted) host.resume();
    };
    this.pauses.push(resume());
  }

  private cut(operation: Extract<Operation, {type: 'cut'}>): void {
    const first = this.hostName(operation.host);
    const second = this.hostName(operation.other);
    if (first !== second) this.system.hub.cut(first, second);
  }

  private leave(operation: Extract<Operation, {type: 'leave'}>): void {
    const {system} = this;
    const name = this.workerName(operation.worker);
    const state = operation.isOn ? 'leaving' : 'live';
    system.hostList.put({name, state});
    if (!operation.isOn) system.leavingSince.delete(name);
    else if (!system.leavingSince.has(name)) {
      system.leavingSince.set(name, system.clock.wallNow());
    }
  }

  /** Two operators change one worker simultaneously from the same base. */
  private edit(operation: Extract<Operation, {type: 'edit'}>): void {
    for (const number of [operation.host, operation.other]) {
      const parts = this.host(number)?.parts;
      const current = parts?.configuration.current();
      const worker = current?.state.workers[this.workerName(operation.worker)];
      if (!parts || !current || !worker) continue;
      const change = {
        kind: 'delta' as const,
        put: {racks: [], workers: [worker], services: [], teams: [], rules: []},
        remove: {racks: [], workers: [], services: [], teams: [], rules: []},
      };
      const deadline = this.system.clock.monotonicNow() + 5_000;
      const options = {base: current.version, editor: `operator-${number}`};
      void parts.configuration.publish(change, options, deadline);
    }
  }

  /** Ends all faults and restarts the killed hosts. */
  private async heal(): Promise<void> {
    const {system} = this;
    system.log.faults.clear();
    system.hub.healAll();
    for (const [name, worker] of system.workers) {
      worker.faults.clear();
      worker.setBehaviour({failEveryTask: false});
      system.hostList.put({name, state: 'live'});
      for (const host of system.liveHosts()) {
        host.setWorkerCut(name, false);
        host.setCommandsHeld(name, false);
      }
    }
    system.leavingSince.clear();
    await this.advance(10_000);
    await Promise.all(this.pauses);
    for (const name of system.hostNames) await system.startHost(name);
    for (const request of system.requests) {
      if (request.submission.kind !== 'service') continue;
      void this.host(0)?.parts.requests.cancel(request.key);
    }
  }

  /**
   * Waits until every caller that can still obtain an outcome has one. Throws
   * when the recovery time has passed.
   */
  private async awaitOutcomes(): Promise<void> {
    const {system} = this;
    const waiting = () =>
      system.requests.filter(
        request => !request.isFinished() && request.canGetOutcome(),
      );
    const end = system.clock.monotonicNow() + RECOVERY_MILLISECONDS;
    while (waiting().length > 0 && system.clock.monotonicNow() < end) {
      await this.advance(1_000);
      for (const request of waiting()) {
        if (request.submission.kind !== 'service') continue;
        void this.host(0)?.parts.requests.cancel(request.key);
      }
    }
    const [unfinished] = waiting();
    if (!unfinished) return;
    throw InternalError.create(
      `no outcome for ${JSON.stringify(unfinished.submission)}: ` +
        JSON.stringify(unfinished.view),
    );
  }

  private hostName(index: number): string {
    const {hostNames} = this.system;
    return hostNames[index % hostNames.length] ?? '';
  }

  private host(index: number) {
    return this.system.hosts.get(this.hostName(index));
  }

  private workerName(index: number): string {
    const {workerNames} = this.system;
    return workerNames[index % workerNames.length] ?? '';
  }

  private worker(index: number) {
    return this.system.workers.get(this.workerName(index));
  }
}
