import type {ConfigurationState, Rule, WorkKind} from '@cardamomfield/types';

interface RuleQuery {
  service: string;
  team: string;
  kind: WorkKind;
}

type Rules = ConfigurationState['rules'];

/**
 * Rules in order of precedence, cached by the rules object, which never changes
 * once it is in force.
 */
const rankedRulesCache = new WeakMap<Rules, Rule[]>();

/**
 * Returns the rule for a request: of the matching rules, the one with the most
 * selectors. Of several such rules, it is the one whose name sorts first.
 */
export function resolveRule(
  configuration: Pick<ConfigurationState, 'rules'>,
  query: RuleQuery,
): Rule | undefined {
  return rankRules(configuration.rules).find(rule => matches(rule, query));
}

function rankRules(rules: Rules): Rule[] {
  const cached = rankedRulesCache.get(rules);
  if (cached) return cached;
  const ranked = Object.values(rules).sort(compareRules);
  rankedRulesCache.set(rules, ranked);
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
