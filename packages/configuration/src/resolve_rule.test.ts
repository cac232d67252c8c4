import type {Rule} from '@cardamomfield/types';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {resolveRule} from './resolve_rule.js';

const KINDS = ['urgent', 'batch'] as const;
const service = fc.constantFrom('s1', 's2');
const team = fc.constantFrom('t1', 't2');
const kind = fc.constantFrom(...KINDS);
const rules = fc.uniqueArray(
  fc.record(
    {name: fc.constantFrom('a', 'B', 'c', '10', '9', 'z'), service, team, kind},
    {requiredKeys: ['name']},
  ),
  {selector: rule => rule.name},
);

/** Reference implementation of `resolveRule` as a search over all rules. */
function resolveRuleNaively(
  all: Rule[],
  query: Required<Omit<Rule, 'name' | 'policy' | 'overuse' | 'queueLimit'>>,
) {
  let best: Rule | undefined;
  const selectors = ['service', 'team', 'kind'] as const;
  const count = (rule: Rule) => selectors.filter(key => key in rule).length;
  for (const rule of all) {
    if (selectors.some(key => key in rule && rule[key] !== query[key])) {
      continue;
    }
    const isBetter =
      best === undefined ||
      count(rule) > count(best) ||
      (count(rule) === count(best) && rule.name < best.name);
    if (isBetter) best = rule;
  }
  return best;
}

describe('resolveRule', () => {
  // Guards against entry hosts that choose different rules for one request.
  it('agrees with a naive search over all rules', () => {
    fc.assert(
      fc.property(rules, service, team, kind, (all, s, t, k) => {
        const byName = Object.fromEntries(all.map(rule => [rule.name, rule]));
        const query = {service: s, team: t, kind: k};
        const found = resolveRule({rules: byName}, query);
        expect(found).toEqual(resolveRuleNaively(all, query));
      }),
      {seed: 11, numRuns: 1_000},
    );
  });
});
