/** A priority queue: the item that `isBefore` all others comes out first. */
export class BinaryHeap<Item> {
  private items: Item[] = [];

  private constructor(
    private readonly isBefore: (a: Item, b: Item) => boolean,
  ) {}

  static create<Item>(
    isBefore: (a: Item, b: Item) => boolean,
  ): BinaryHeap<Item> {
    return new BinaryHeap(isBefore);
  }

  get size(): number {
    return this.items.length;
  }

  peek(): Item | undefined {
    return this.items[0];
  }

  push(item: Item): void {
    const items = this.items;
    let place = items.length;
    items.push(item);
    while (place > 0) {
      const parent = (place - 1) >> 1;
      if (!this.isBefore(item, items[parent]!)) break;
      items[place] = items[parent]!;
      place = parent;
    }
    items[place] = item;
  }

  pop(): Item | undefined {
    const first = this.items[0];
    const last = this.items.pop();
    if (last !== undefined && this.items.length > 0) this.sink(0, last);
    return first;
  }

  /** Drops the items that are not kept, in linear time. */
  filter(keep: (item: Item) => boolean): void {
    this.items = this.items.filter(keep);
    for (let place = (this.items.length >> 1) - 1; place >= 0; place--) {
      this.sink(place, this.items[place]!);
    }
  }

  private sink(start: number, item: Item): void {
    const items = this.items;
    let place = start;
    for (;;) {
      let child = 2 * place + 1;
      if (child >= items.length) break;
      const right = child + 1;
      if (right < items.length && this.isBefore(items[right]!, items[child]!)) {
        child = right;
      }
      if (!this.isBefore(items[child]!, item)) break;
      items[place] = items[child]!;
      place = child;
    }
    items[place] = item;
  }
}
