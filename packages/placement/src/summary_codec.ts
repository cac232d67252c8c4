import {RESOURCE_NAMES, type ResourceVector} from '@cardamomfield/types';
import {z} from 'zod';
import {OwnerSummary} from './owner_summary.js';

const DIGITS =
  '0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-_';
/** An amount is encoded as two digits: an exponent of 2 and a fraction. */
const FRACTIONS = 64;
const AMOUNT_DIGITS = 2;
const GROUP_DIGITS = 2 * RESOURCE_NAMES.length * AMOUNT_DIGITS;

const CompactSummary = z.strictObject({
  /**
   * Names of the groups, separated by commas. The first digit of each is the
   * number of leading characters that it shares with the previous name.
   */
  n: z.string(),
  /** Amounts of the groups, `GROUP_DIGITS` digits each. */
  a: z.string(),
  /** Waiting tasks and expected wait of each class, in `WorkKind` order. */
  c: z.array(z.int().nonnegative()),
});
type CompactSummary = z.infer<typeof CompactSummary>;

/**
 * Encodes summaries in a form small enough for heartbeats. Amounts have about
 * six significant bits and are rounded down, so an offer is never overstated.
 */
export class SummaryCodec {
  static readonly schema = CompactSummary;

  static encode(summary: OwnerSummary): CompactSummary {
    return {
      n: encodeNames(summary.groups.map(group => group.name)),
      a: summary.groups
        .map(group => encodeAll(group.free) + encodeAll(group.largestFree))
        .join(''),
      c: summary.classes.flatMap(c => [
        c.waitingTasks,
        c.expectedWaitMilliseconds,
      ]),
    };
  }

  static decode(compact: CompactSummary): OwnerSummary {
    const names = decodeNames(compact.n);
    const half = GROUP_DIGITS / 2;
    const kinds = OwnerSummary.shape.classes.element.shape.kind.options;
    return {
      groups: names.map((name, i) => {
        const start = i * GROUP_DIGITS;
        const middle = start + half;
        return {
          name,
          free: decodeAll(compact.a.slice(start, middle)),
          largestFree: decodeAll(compact.a.slice(middle, middle + half)),
        };
      }),
      classes: kinds.map((kind, i) => ({
        kind,
        waitingTasks: compact.c[2 * i] ?? 0,
        expectedWaitMilliseconds: compact.c[2 * i + 1] ?? 0,
      })),
    };
  }
}

function encodeNames(names: string[]): string {
  return names
    .map((name, i) => {
      const previous = names[i - 1] ?? '';
      let common = 0;
      const limit = Math.min(name.length, previous.length, DIGITS.length - 1);
      while (common < limit && name[common] === previous[common]) common++;
      return DIGITS[common]! + name.slice(common);
    })
    .join(',');
}

function decodeNames(encoded: string): string[] {
  if (encoded === '') return [];
  let previous = '';
  return encoded.split(',').map(part => {
    const common = DIGITS.indexOf(part[0]!);
    previous = previous.slice(0, common) + part.slice(1);
    return previous;
  });
}

function encodeAll(amounts: ResourceVector): string {
  return RESOURCE_NAMES.map(name => encodeAmount(amounts[name])).join('');
}

function decodeAll(digits: string): ResourceVector {
  const amounts = {} as ResourceVector;
  RESOURCE_NAMES.forEach((name, i) => {
    amounts[name] = decodeAmount(digits.slice(2 * i, 2 * i + 2));
  });
  return amounts;
}

/** Amounts below `FRACTIONS` are exact and have the exponent digit 0. */
function encodeAmount(amount: number): string {
  let power = 0;
  let value = amount;
  while (value >= 2 * FRACTIONS) {
    value = Math.floor(value / 2);
    power++;
  }
  if (value < FRACTIONS) return DIGITS[0]! + DIGITS[value]!;
  return DIGITS[power + 1]! + DIGITS[value - FRACTIONS]!;
}

function decodeAmount(digits: string): number {
  const power = DIGITS.indexOf(digits[0]!) - 1;
  const value = DIGITS.indexOf(digits[1]!);
  return power < 0 ? value : (value + FRACTIONS) * 2 ** power;
}
