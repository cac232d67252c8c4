import type {Rule} from '@cardamomfield/types';
import {describe, expect, it} from 'vitest';
import {chooseRule} from './choose_rule.js';

describe('chooseRule', () => {
  const subject = {service: 's', team: 't', kind: 'batch'} as const;
  const nameOf = (rules: Rule[]) => chooseRule(rules, subject)?.name;

  // Guards against a general rule that overrides a specific one.
  it('prefers the rule with the most matching selectors', () => {
    const rules: Rule[] = [
      {name: 'a'},
      {name: 'c', service: 's', team: 't'},
      {name: 'b', service: 's'},
    ];
    expect(nameOf(rules)).toBe('c');
  });

  // Guards against a choice that depends on the order of the rules.
  it('prefers the first name among equally specific rules', () => {
    const rules: Rule[] = [
      {name: 'b', team: 't'},
      {name: 'a', kind: 'batch'},
    ];
    expect(nameOf(rules)).toBe('a');
    expect(nameOf(rules.reverse())).toBe('a');
  });

  // Guards against rules that apply to requests that they do not match.
  it('ignores rules with a selector that differs', () => {
    expect(nameOf([{name: 'a', service: 's', kind: 'gang'}])).toBeUndefined();
  });
});
