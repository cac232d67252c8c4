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
import type {SimulatedLife} from './simulated_life.js';
import type {SimulatedLinks} from './simulated_links.js';
import type {SimulatedWorld} from './simulated_world.js';

type Handler = Parameters<PeerNetwork['handle']>[1];

interface SimulatedNetworkOptions {
  world: SimulatedWorld;
  links: SimulatedLinks;
  self: string;
  incarnation: string;
  life: SimulatedLife;
  clock: SimulatedClock;
}

const HEARTBEAT_INTERVAL_MILLISECONDS = 500;
const SILENCE_MILLISECONDS = 2_000;

/** Calls and heartbeats of one process over simulated links. */
export class SimulatedNetwork implements PeerNetwork {
  readonly self: string;
  private readonly handlers = new Map<string, Handler>();
  private readonly providers = new Map<string, () => unknown>();
  private readonly heard = new Map<string, number>();
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

  /** Runs a function in this process, when it is not paused. */
  deliver(at: number, run: () => void): void {
    this.options.world.schedule(at, run, this.options.life);
  }

  receiveHeartbeat(
    peer: string,
    values: ReadonlyArray<readonly [string, unknown]>,
  ): void {
    const receivedAt = this.options.clock.monotonicNow();
    this.heard.set(peer, receivedAt);
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
    this.heard.set(caller, this.options.clock.monotonicNow());
    const handler = this.handlers.get(method);
    if (!handler) return Left(RefusedError.create(`no handler of ${method}`));
    return handler({name: caller, incarnation}, parameters);
  }

  livePeers(): readonly string[] {
    const now = this.options.clock.monotonicNow();
    return [...this.heard]
      .filter(([, heardAt]) => now - heardAt <= SILENCE_MILLISECONDS)
      .map(([peer]) => peer);
  }

  call<Parameters, Result>(
    peer: string,
    method: PeerMethod<Parameters, Result>,
    parameters: Parameters,
    deadline: number,
  ): Promise<Either<TypedError, Result>> {
    const {clock, incarnation, life, links, world} = this.options;
    return new Promise(resolve => {
      const timer = world.schedule(
        clock.globalInstant(deadline),
        () => resolve(Left(UncertainError.create('no answer'))),
        life,
      );
      const question = method.parameters.parse(copy(parameters));
      links.send(this.self, peer, method.name, copy(parameters), target => {
        void target
          .receiveCall(this.self, incarnation, method.name, question)
          .then(answer => {
            const text = answer.map(copy);
            links.answer(peer, this, method.name, text.extract(), () => {
              timer.cancel();
              this.heard.set(peer, clock.monotonicNow());
              resolve(
                answer.caseOf<Either<TypedError, Result>>({
                  Left: error =>
                    Left(RefusedError.create(error.message, error.toJSON())),
                  Right: value => Right(method.result.parse(copy(value))),
                }),
              );
            });
          });
      });
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

  lastHeard(peer: string): number | undefined {
    return this.heard.get(peer);
  }

  onPeersChange(): () => void {
    return () => {};
  }
}

function copy<Value>(value: Value): Value {
  return JSON.parse(JSON.stringify(value)) as Value;
}
