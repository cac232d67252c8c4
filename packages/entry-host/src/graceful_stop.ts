import type {CallerServer} from '@cardamomfield/caller-api';
import type {EntryParts} from './entry_parts.js';
import type {OperatorView} from './operator_view.js';

/** Pause between two checks for work in flight. */
const CHECK_PERIOD_MILLISECONDS = 50;

/** Time limit, within the drain deadline, for handing groups over. */
const HANDOVER_TIMEOUT_MILLISECONDS = 5_000;

/** Stops an entry host without interrupting requests in flight. */
export class GracefulStop {
  private constructor(
    private readonly parts: EntryParts,
    private readonly operator: OperatorView,
    private readonly server: CallerServer,
  ) {}

  static create(
    parts: EntryParts,
    operator: OperatorView,
    server: CallerServer,
  ): GracefulStop {
    return new GracefulStop(parts, operator, server);
  }

  /** Resolves once no work is in flight, or at the monotonic deadline. */
  async run(deadline: number): Promise<void> {
    const {owner, ownership, requests, base} = this.parts;
    base.timeline.record('process.stopping', {});
    this.operator.stop();
    requests.close();
    owner.close();
    await this.waitUntil(() => owner.countStarting() === 0, deadline);
    const handoverDeadline =
      base.clock.monotonicNow() + HANDOVER_TIMEOUT_MILLISECONDS;
    await ownership.releaseAll({
      deadline: Math.min(deadline, handoverDeadline),
      isDecommissioning: false,
    });
    await requests.handOver();
    await this.waitUntil(() => owner.countUndelivered() === 0, deadline);
    await this.waitUntil(() => requests.countUnfinished() === 0, deadline);
    await Promise.race([this.server.close(), base.clock.sleepUntil(deadline)]);
  }

  private async waitUntil(
    isDone: () => boolean,
    deadline: number,
  ): Promise<void> {
    const {clock} = this.parts.base;
    while (!isDone() && clock.monotonicNow() < deadline) {
      await clock.sleepUntil(clock.monotonicNow() + CHECK_PERIOD_MILLISECONDS);
    }
  }
}
