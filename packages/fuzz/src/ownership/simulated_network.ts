import {
  RefusedError,
  type TypedError,
  UncertainError,
} from '@cardamomfield/errors';
import type {
  HeartbeatSection,
  PeerMethod,
  PeerNetwork,
} from '@cardamomfield/peer-protocol';
import {type Either, Left, Right} from 'purify-ts';
import type {SimulatedClock} from './simulated_clock.js';
import type {ProcessState} from './process_state.js';
import type {SimulatedLinks} from './simulated_links.js';
import type {SimulationEngine} from './simulation_engine.js';

type Handler = Parameters<PeerNetwork['handle']>[1];

interface SimulatedNetworkOptions {
  engine: SimulationEngine;
  links: SimulatedLinks;
  self: string;
  incarnation: string;
  processState: ProcessState;
  clock: SimulatedClock;
}

const HEARTBEAT_INTERVAL_MILLISECONDS = 500;
const SILENCE_MILLISECONDS = 2_000;

/** Calls and heartbeats of one process over simulated links. */
export class SimulatedNetwork implements PeerNetwork {
  readonly self: string;
  private readonly handlers = new Map<string, Handler>();
  private readonly providers = new Map<string, () => unknown>();
  private readonly lastMessageTimes = new Map<string, number>();
  private readonly sections = new Map<
    string,
    {value: unknown; receivedAt: number}
  >();

  private constructor(private readonly options: SimulatedNetworkOptions) {
    this.self = options.self;
  }

  static create(options: SimulatedNetworkOptions): SimulatedNetwork {
    const network = new SimulatedNetwork(options);
    options.links.attach(network);
    return network;
  }

  async run(): Promise<void> {
    const {clock, links} = this.options;
    for (;;) {
      const values = [...this.providers].map(
        ([name, provider]) => [name, provider()] as const,
      );
      links.broadcast(this.self, values);
      await clock.sleepUntil(
        clock.monotonicNow() + HEARTBEAT_INTERVAL_MILLISECONDS,
      );
    }
  }

  /** Runs a function in this process at an instant or after its pause. */
  deliver(at: number, run: () => void): void {
    this.options.engine.schedule(at, run, this.options.processState);
  }

  receiveHeartbeat(
    peer: string,
    values: ReadonlyArray<readonly [string, unknown]>,
  ): void {
    const receivedAt = this.options.clock.monotonicNow();
    this.lastMessageTimes.set(peer, receivedAt);
    for (const [name, value] of values) {
      this.sections.set(`${peer}/${name}`, {value, receivedAt});
    }
  }

  async receiveCall(
    caller: string,
    incarnation: string,
    method: string,
    parameters: unknown,
  ): Promise<Either<TypedError, unknown>> {
    this.lastMessageTimes.set(caller, this.options.clock.monotonicNow());
    const handler = this.handlers.get(method);
    if (!handler) return Left(RefusedError.create(`no handler of ${method}`));
    return handler({name: caller, incarnation}, parameters);
  }

  livePeers(): readonly string[] {
    const now = this.options.clock.monotonicNow();
    return [...this.lastMessageTimes]
      .filter(([, receivedAt]) => now - receivedAt <= SILENCE_MILLISECONDS)
      .map(([peer]) => peer);
  }

  call<Parameters, Result>(
    peer: string,
    method: PeerMethod<Parameters, Result>,
    parameters: Parameters,
    deadline: number,
  ): Promise<Either<TypedError, Result>> {
    const {clock, incarnation, processState, links, engine} = this.options;
    return new Promise(resolve => {
      const timer = engine.schedule(
        clock.globalInstant(deadline),
        () => resolve(Left(UncertainError.create('no answer'))),
        processState,
      );
      const request = method.parameters.parse(copyAsJson(parameters));
      links.send(
        this.self,
        peer,
        method.name,
        copyAsJson(parameters),
        target => {
          void target
            .receiveCall(this.self, incarnation, method.name, request)
            .then(answer => {
              const response = answer.map(copyAsJson);
              links.answer(peer, this, method.name, response.extract(), () => {
                timer.cancel();
                this.lastMessageTimes.set(peer, clock.monotonicNow());
                resolve(
                  answer.caseOf<Either<TypedError, Result>>({
                    Left: error =>
                      Left(RefusedError.create(error.message, error.toJSON())),
                    Right: value =>
                      Right(method.result.parse(copyAsJson(value))),
                  }),
                );
              });
            });
        },
      );
    });
  }

  handle<Parameters, Result>(
    method: PeerMethod<Parameters, Result>,
    handler: (
      peer: {name: string; incarnation: string},
      parameters: Parameters,
    ) => Promise<Either<TypedError, Result>>,
  ): void {
    this.handlers.set(method.name, handler as Handler);
  }

  publish<Value>(
    section: HeartbeatSection<Value>,
    provider: () => Value,
  ): void {
    this.providers.set(section.name, provider);
  }

  latest<Value>(
    peer: string,
    section: HeartbeatSection<Value>,
  ): {value: Value; receivedAt: number} | undefined {
    const found = this.sections.get(`${peer}/${section.name}`);
    return found as {value: Value; receivedAt: number} | undefined;
  }

  lastMessageAt(peer: string): number | undefined {
    return this.lastMessageTimes.get(peer);
  }

  onPeersChange(): () => void {
    return () => {};
  }
}

function copyAsJson<Value>(value: Value): Value {
  return JSON.parse(JSON.stringify(value)) as Value;
}
