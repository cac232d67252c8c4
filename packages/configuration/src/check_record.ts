import type {ConfigurationDelta} from './configuration_delta.js';
import type {ConfigurationRecord} from './configuration_record.js';
import {ITEM_KINDS} from './item_kinds.js';
import type {Refusal} from './refusal.js';

/**
 * Checks the constraints that the schema can't express; undefined when the
 * record is well formed.
 */
export function checkRecord(
  record: ConfigurationRecord,
  version: number,
): Refusal | undefined {
  if (record.base > version) {
    return malformed(
      `base ${record.base} is later than the latest version ${version}`,
    );
  }
  const problem =
    record.change.kind === 'delta'
      ? deltaProblem(record.change)
      : snapshotProblem(record.change.state);
  return problem === undefined ? undefined : malformed(problem);
}

function malformed(message: string): Refusal {
  return {code: 'malformed', message};
}

function deltaProblem(delta: ConfigurationDelta): string | undefined {
  let count = 0;
  for (const kind of ITEM_KINDS) {
    const put = delta.put[kind].map(item => item.name);
    const touched = [...put, ...delta.remove[kind]];
    const repeated = firstRepeated(touched);
    if (repeated !== undefined) return `${kind}/${repeated} is named twice`;
    count += touched.length;
  }
  return count === 0 ? 'the change names no item' : undefined;
}

function snapshotProblem(
  state: Readonly<Record<string, Readonly<Record<string, {name: string}>>>>,
): string | undefined {
  for (const kind of ITEM_KINDS) {
    for (const [key, item] of Object.entries(state[kind]!)) {
      if (key !== item.name) return `${kind}/${key} has the name ${item.name}`;
    }
  }
  return undefined;
}

function firstRepeated(names: string[]): string | undefined {
  const seen = new Set<string>();
  return names.find(name => seen.size === seen.add(name).size);
}
