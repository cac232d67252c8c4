import {constants, deflateRawSync, inflateRawSync} from 'node:zlib';

/**
 * Encodes JSON as deflated text in base 64, because the log limits the size of
 * a record and traffic between regions is billed by volume.
 */
export const compactJson = {
  encode(value: unknown): string {
    const text = JSON.stringify(value);
    const level = constants.Z_BEST_SPEED;
    return deflateRawSync(text, {level}).toString('base64');
  },

  /** Returns the value, or undefined if the text is not a valid encoding. */
  decode(text: string): unknown {
    try {
      const inflated = inflateRawSync(Buffer.from(text, 'base64'));
      return JSON.parse(inflated.toString('utf8'));
    } catch {
      return undefined;
    }
  },
};
