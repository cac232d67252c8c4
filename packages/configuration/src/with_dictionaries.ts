import {dictionary} from './dictionary.js';

type Items<Value> = Readonly<Record<string, Value>>;

interface ByKind {
  racks: Items<unknown>;
  workers: Items<unknown>;
  services: Items<unknown>;
  teams: Items<unknown>;
  rules: Items<unknown>;
}

/** The same items by kind, in dictionaries without a prototype. */
export function withDictionaries<Value extends ByKind>(byKind: Value): Value {
  return {
    racks: dictionary(byKind.racks),
    workers: dictionary(byKind.workers),
    services: dictionary(byKind.services),
    teams: dictionary(byKind.teams),
    rules: dictionary(byKind.rules),
  } as Value;
}
