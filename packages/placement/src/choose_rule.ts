import type {Rule, WorkKind} from '@cardamomfield/types';

/** The properties of a request that rule selectors match. */
interface RuleSubject {
  service: string;
  team: string;
  kind: WorkKind;
}

const SELECTORS = ['service', 'team', 'kind'] as const;

/**
 * The rule that applies to a request, if any matches: the one with the most
 * selectors and, among equals, the first by name.
 */
export function chooseRule(
  rules: Iterable<Rule>,
  subject: RuleSubject,
): Rule | undefined {
  let chosen: Rule | undefined;
  for (const rule of rules) {
    if (!matches(rule, subject)) continue;
    if (!chosen || takesPrecedence(rule, chosen)) chosen = rule;
  }
  return chosen;
}

function matches(rule: Rule, subject: RuleSubject): boolean {
  return SELECTORS.every(
    selector =>
      rule[selector] === undefined || rule[selector] === subject[selector],
  );
}

function takesPrecedence(rule: Rule, other: Rule): boolean {
  const difference = countSelectors(rule) - countSelectors(other);
  return difference !== 0 ? difference > 0 : rule.name < other.name;
}

function countSelectors(rule: Rule): number {
  return SELECTORS.filter(selector => rule[selector] !== undefined).length;
}
