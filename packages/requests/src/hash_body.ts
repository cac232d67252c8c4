import {createHash} from 'node:crypto';
import type {Submission} from '@cardamomfield/types';

/** Characters kept of the hash; 96 bits make an accidental match hopeless. */
const HASH_LENGTH = 16;

/** Hash of all that a caller chose, apart from the key and the deadline. */
export function hashBody(submission: Submission): string {
  const {key: _key, deadline: _deadline, ...body} = submission;
  const hash = createHash('sha256').update(canonicalJson(body));
  return hash.digest('base64url').slice(0, HASH_LENGTH);
}

/** JSON with the keys of every object sorted. */
function canonicalJson(value: unknown): string {
  return JSON.stringify(value, (_name, item: unknown) => {
    if (item === null || typeof item !== 'object' || Array.isArray(item)) {
      return item;
    }
    return Object.fromEntries(Object.entries(item).sort(compareNames));
  });
}

function compareNames(
  [first]: [string, unknown],
  [second]: [string, unknown],
): number {
  return first < second ? -1 : 1;
}
