import {constants, deflateRawSync, inflateRawSync} from 'node:zlib';

/** Snapshots as deflated text, since a log limits the size of a record. */
export const snapshotCodec = {
  encode(state: unknown): string {
    const text = JSON.stringify(state);
    const level = constants.Z_BEST_SPEED;
    return deflateRawSync(text, {level}).toString('base64');
  },

  /** The state, or undefined when the text is not one. */
  decode(text: string): unknown {
    try {
      const inflated = inflateRawSync(Buffer.from(text, 'base64'));
      return JSON.parse(inflated.toString('utf8'));
    } catch {
      return undefined;
    }
  },
};
