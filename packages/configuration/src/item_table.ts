import {dictionary} from './dictionary.js';

/**
 * With 3,100 workers, a bucket has about 24 items, and a change of one item
 * copies one bucket. Copying one object with all 3,100 items took 2 ms, which
 * is too slow to replay thousands of records.
 */
const BUCKET_COUNT = 128;

type Buckets<Value> = ReadonlyArray<ReadonlyMap<string, Value>>;

/**
 * Items by name. A table is immutable: a change returns a new table that shares
 * the unchanged buckets.
 */
export class ItemTable<Value> {
  private record: Readonly<Record<string, Value>> | undefined;

  private constructor(
    private readonly buckets: Buckets<Value>,
    readonly size: number,
  ) {}

  static create<Value>(
    record: Readonly<Record<string, Value>> = {},
  ): ItemTable<Value> {
    const buckets = Array.from({length: BUCKET_COUNT}, () => new Map());
    return new ItemTable<Value>(buckets, 0).with(Object.entries(record), []);
  }

  get(name: string): Value | undefined {
    return this.buckets[bucketOf(name)]!.get(name);
  }

  has(name: string): boolean {
    return this.buckets[bucketOf(name)]!.has(name);
  }

  *entries(): IterableIterator<[string, Value]> {
    for (const bucket of this.buckets) yield* bucket;
  }

  *values(): IterableIterator<Value> {
    for (const bucket of this.buckets) yield* bucket.values();
  }

  /** Returns a table with the removals applied first and then the puts. */
  with(
    puts: ReadonlyArray<readonly [string, Value]>,
    removals: readonly string[],
  ): ItemTable<Value> {
    if (puts.length + removals.length === 0) return this;
    const buckets = [...this.buckets];
    const copies = new Map<number, Map<string, Value>>();
    let size = this.size;
    const copyOf = (name: string) => {
      const index = bucketOf(name);
      const copy = copies.get(index) ?? new Map(buckets[index]);
      copies.set(index, copy);
      buckets[index] = copy;
      return copy;
    };
    for (const name of removals) {
      if (copyOf(name).delete(name)) size -= 1;
    }
    for (const [name, value] of puts) {
      const bucket = copyOf(name);
      if (!bucket.has(name)) size += 1;
      bucket.set(name, value);
    }
    return new ItemTable(buckets, size);
  }

  /** All items as one object without a prototype, in the order of names. */
  toRecord(): Readonly<Record<string, Value>> {
    this.record ??= dictionary(
      Object.fromEntries(
        [...this.entries()].sort(([first], [second]) =>
          first < second ? -1 : 1,
        ),
      ),
    );
    return this.record;
  }
}

/** Any hash that distributes names evenly over the buckets would do. */
function bucketOf(name: string): number {
  let hash = 0;
  for (let index = 0; index < name.length; index++) {
    hash = (Math.imul(hash, 31) + name.charCodeAt(index)) | 0;
  }
  return ((hash >>> 0) ^ (hash >>> 16)) & (BUCKET_COUNT - 1);
}
