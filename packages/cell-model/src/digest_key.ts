import {createHash} from 'node:crypto';

const DIGEST_DIGITS = 32;

/** Digest by which hosts identify a caller's key without stating the key. */
export function digestKey(key: string): string {
  return createHash('sha256').update(key).digest('hex').slice(0, DIGEST_DIGITS);
}
