import type {ConfigurationState, Rule, WorkKind} from '@cardamomfield/types';

interface RuleQuery {
  service: string;
  team: string;
  kind: WorkKind;
}

type Rules = ConfigurationState['rules'];

/** Rules in order of preference; a rules object never changes once in force. */
const rankings = new WeakMap<Rules, Rule[]>();

/**
 * The rule for a request: of the matching ones the one with the most
 * selectors, then the one whose name sorts first.
 */
export function resolveRule(
  configuration: Pick<ConfigurationState, 'rules'>,
  query: RuleQuery,
): Rule | undefined {
  return ranking(configuration.rules).find(rule => matches(rule, query));
}

function ranking(rules: Rules): Rule[] {
  const known = rankings.get(rules);
  if (known) return known;
  const ranked = Object.values(rules).sort(compareRules);
  rankings.set(rules, ranked);
  return ranked;
}

function compareRules(first: Rule, second: Rule): number {
  const difference = selectorCount(second) - selectorCount(first);
  return difference || (first.name < second.name ? -1 : 1);
}

function selectorCount({service, team, kind}: Rule): number {
  return [service, team, kind].filter(value => value !== undefined).length;
}

function matches(rule: Rule, query: RuleQuery): boolean {
  return (
    (rule.service ?? query.service) === query.service &&
    (rule.team ?? query.team) === query.team &&
    (rule.kind ?? query.kind) === query.kind
  );
}
