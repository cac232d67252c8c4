import {createHash} from 'node:crypto';
import type {Submission} from '@cardamomfield/types';

/** Base64url characters kept: 96 bits make a collision negligible. */
const HASH_LENGTH = 16;

/** Hashes a submission without its key and deadline. */
export function hashBody(submission: Submission): string {
  const {key: _key, deadline: _deadline, ...body} = submission;
  const hash = createHash('sha256').update(canonicalJson(body));
  return hash.digest('base64url').slice(0, HASH_LENGTH);
}

/** Serializes a value as JSON with the keys of every object sorted. */
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
