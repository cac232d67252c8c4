import type {WorkKind} from '@cardamomfield/types';
import {BestFitPolicy} from './best_fit_policy.js';
import {DotProductPolicy} from './dot_product_policy.js';
import {FirstFitPolicy} from './first_fit_policy.js';
import type {Job} from './job.js';
import type {PlacementPolicy} from './placement_policy.js';
import {SpreadPolicy} from './spread_policy.js';

/** Policy of each class when no rule sets one. */
const DEFAULT_POLICY_NAMES: Readonly<Record<WorkKind, string>> = {
  urgent: 'best-fit',
  interactive: 'best-fit',
  service: 'spread',
  gang: 'best-fit',
  batch: 'best-fit',
};

/** The placement policies by name, with a default for each class. */
export class PolicySet {
  private readonly policies: ReadonlyMap<string, PlacementPolicy>;

  private constructor(
    private readonly defaults: Readonly<Record<WorkKind, string>>,
  ) {
    const policies: PlacementPolicy[] = [
      BestFitPolicy.create(),
      FirstFitPolicy.create(),
      DotProductPolicy.create(),
      SpreadPolicy.create(),
    ];
    this.policies = new Map(policies.map(policy => [policy.name, policy]));
  }

  /** `overrides` replaces the default policy names of some classes. */
  static create(overrides: Partial<Record<WorkKind, string>> = {}): PolicySet {
    return new PolicySet({...DEFAULT_POLICY_NAMES, ...overrides});
  }

  policyOf(job: Job): PlacementPolicy {
    return this.getOrDefault(job.policy ?? this.defaults[job.kind]);
  }

  getOrDefault(name: string): PlacementPolicy {
    return this.policies.get(name) ?? this.policies.get('best-fit')!;
  }
}
