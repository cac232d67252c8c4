import type {Rule, WorkKind} from '@cardamomfield/types';

/** What a rule selects by. */
interface RuleSubject {
  service: string;
  team: string;
  kind: WorkKind;
}

const SELECTORS = ['service', 'team', 'kind'] as const;

/** The rule that applies to a request, if any matches. */
export function chooseRule(
  rules: Iterable<Rule>,
  subject: RuleSubject,
): Rule | undefined {
  let chosen: Rule | undefined;
  for (const rule of rules) {
    if (!matches(rule, subject)) continue;
    if (!chosen || isStronger(rule, chosen)) chosen = rule;
  }
  return chosen;
}

function matches(rule: Rule, subject: RuleSubject): boolean {
  return SELECTORS.every(
    selector =>
      rule[selector] === undefined || rule[selector] === subject[selector],
  );
}

function isStronger(rule: Rule, other: Rule): boolean {
  const difference = countSelectors(rule) - countSelectors(other);
  return difference !== 0 ? difference > 0 : rule.name < other.name;
}

function countSelectors(rule: Rule): number {
  return SELECTORS.filter(selector => rule[selector] !== undefined).length;
}
