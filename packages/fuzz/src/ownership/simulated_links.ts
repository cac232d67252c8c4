import type {SimulatedNetwork} from './simulated_network.js';
import type {SimulationEngine} from './simulation_engine.js';

/** Bytes of the frame and the JSON-RPC envelope around each message. */
const ENVELOPE_BYTES = 60;

/** Maximum delay of a late message. */
const MAXIMUM_LATE_DELAY_MILLISECONDS = 6_000;

/** The directed links between all simulated hosts, with their faults. */
export class SimulatedLinks {
  /** Directed links that drop everything, as `from>to`. */
  readonly cuts = new Set<string>();
  /** Share of messages that arrive late. */
  lateShare = 0;
  /** Messages and bytes sent by each host, without heartbeats. */
  readonly sent = new Map<string, {messages: number; bytes: number}>();
  private readonly networks = new Map<string, SimulatedNetwork>();

  private constructor(private readonly engine: SimulationEngine) {}

  static create(engine: SimulationEngine): SimulatedLinks {
    return new SimulatedLinks(engine);
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
    onArrival: (target: SimulatedNetwork) => void,
  ): void {
    this.recordSent(from, method, parameters);
    this.transmit(from, to, onArrival);
  }

  /** Sends an answer; it is lost when the caller's process has ended. */
  answer(
    from: string,
    caller: SimulatedNetwork,
    method: string,
    result: unknown,
    onArrival: () => void,
  ): void {
    this.recordSent(from, method, result);
    if (this.isCut(from, caller.self)) return;
    caller.deliver(this.engine.now() + this.delay(), onArrival);
  }

  private transmit(
    from: string,
    to: string,
    onArrival: (target: SimulatedNetwork) => void,
  ): void {
    if (this.isCut(from, to)) return;
    // The message reaches the process that runs on the host at its arrival.
    this.engine.schedule(this.engine.now() + this.delay(), () => {
      const target = this.networks.get(to);
      target?.deliver(this.engine.now(), () => onArrival(target));
    });
  }

  private isCut(from: string, to: string): boolean {
    return this.cuts.has(`${from}>${to}`);
  }

  private delay(): number {
    const {random} = this.engine;
    const isLate = random.fraction() < this.lateShare;
    return this.engine.randomBetween(
      0.2,
      isLate ? MAXIMUM_LATE_DELAY_MILLISECONDS : 2,
    );
  }

  private recordSent(from: string, method: string, body: unknown): void {
    const total = this.sent.get(from) ?? {messages: 0, bytes: 0};
    total.messages += 1;
    total.bytes +=
      ENVELOPE_BYTES + method.length + JSON.stringify(body ?? null).length;
    this.sent.set(from, total);
  }
}
