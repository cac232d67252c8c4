import type {Clock, RandomSource} from '@cardamomfield/clock';
import type {Logger} from '@cardamomfield/logger';
import type {Metrics} from '@cardamomfield/metrics';
import type {PeerNetwork} from '@cardamomfield/peer-protocol';
import type {Timeline} from '@cardamomfield/timeline';
import type {DependencyContainer} from 'tsyringe';
import {TOKENS} from './tokens.js';

/** Components that nearly every package depends on. */
export class BaseParts {
  private constructor(
    readonly clock: Clock,
    readonly random: RandomSource,
    readonly logger: Logger,
    readonly metrics: Metrics,
    readonly timeline: Timeline,
    readonly network: PeerNetwork,
    readonly incarnation: string,
  ) {}

  static create(container: DependencyContainer): BaseParts {
    return new BaseParts(
      container.resolve(TOKENS.clock),
      container.resolve(TOKENS.random),
      container.resolve(TOKENS.logger),
      container.resolve(TOKENS.metrics),
      container.resolve(TOKENS.timeline),
      container.resolve(TOKENS.network),
      container.resolve(TOKENS.incarnation),
    );
  }
}
