import type {SimulatedNetwork} from './simulated_network.js';
import type {SimulatedWorld} from './simulated_world.js';

/** Bytes of the frame and the JSON-RPC envelope around each message. */
const ENVELOPE_BYTES = 60;

/** Longest delay of a late message. */
const LATE_MILLISECONDS = 6_000;

/** The directed links between all simulated hosts, with their faults. */
export class SimulatedLinks {
  /** Directed links that drop everything, as `from>to`. */
  readonly cuts = new Set<string>();
  /** Share of messages that arrive late. */
  lateShare = 0;
  /** Messages and bytes sent by each host, without heartbeats. */
  readonly sent = new Map<string, {messages: number; bytes: number}>();
  private readonly networks = new Map<string, SimulatedNetwork>();

  private constructor(private readonly world: SimulatedWorld) {}

  static create(world: SimulatedWorld): SimulatedLinks {
    return new SimulatedLinks(world);
  }

  attach(network: SimulatedNetwork): void {
    this.networks.set(network.self, network);
  }

  broadcast(
    from: string,
    values: ReadonlyArray<readonly [string, unknown]>,
  ): void {
    for (const to of this.networks.keys()) {
      if (to === from) continue;
      this.transmit(from, to, target => target.receiveHeartbeat(from, values));
    }
  }

  send(
    from: string,
    to: string,
    method: string,
    parameters: unknown,
    arrive: (target: SimulatedNetwork) => void,
  ): void {
    this.count(from, method, parameters);
    this.transmit(from, to, arrive);
  }

  /** Sends an answer; it is lost when the caller's process has ended. */
  answer(
    from: string,
    caller: SimulatedNetwork,
    method: string,
    result: unknown,
    arrive: () => void,
  ): void {
    this.count(from, method, result);
    if (this.isCut(from, caller.self)) return;
    caller.deliver(this.world.now() + this.delay(), arrive);
  }

  private transmit(
    from: string,
    to: string,
    arrive: (target: SimulatedNetwork) => void,
  ): void {
    if (this.isCut(from, to)) return;
    // The message reaches whichever process runs on the host by then.
    this.world.schedule(this.world.now() + this.delay(), () => {
      const target = this.networks.get(to);
      target?.deliver(this.world.now(), () => arrive(target));
    });
  }

  private isCut(from: string, to: string): boolean {
    return this.cuts.has(`${from}>${to}`);
  }

  private delay(): number {
    const {random} = this.world;
    const isLate = random.fraction() < this.lateShare;
    return this.world.between(0.2, isLate ? LATE_MILLISECONDS : 2);
  }

  private count(from: string, method: string, body: unknown): void {
    const total = this.sent.get(from) ?? {messages: 0, bytes: 0};
    total.messages += 1;
    total.bytes +=
      ENVELOPE_BYTES + method.length + JSON.stringify(body ?? null).length;
    this.sent.set(from, total);
  }
}
