/** A priority queue that returns items in the order that `isBefore` defines. */
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
    let index = items.length;
    items.push(item);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.isBefore(item, items[parent]!)) break;
      items[index] = items[parent]!;
      index = parent;
    }
    items[index] = item;
  }

  pop(): Item | undefined {
    const first = this.items[0];
    const last = this.items.pop();
    if (last !== undefined && this.items.length > 0) this.siftDown(0, last);
    return first;
  }

  /** Removes the items that do not satisfy `keep`, in linear time. */
  filter(keep: (item: Item) => boolean): void {
    this.items = this.items.filter(keep);
    for (let index = (this.items.length >> 1) - 1; index >= 0; index--) {
      this.siftDown(index, this.items[index]!);
    }
  }

  private siftDown(start: number, item: Item): void {
    const items = this.items;
    let index = start;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= items.length) break;
      const right = child + 1;
      if (right < items.length && this.isBefore(items[right]!, items[child]!)) {
        child = right;
      }
      if (!this.isBefore(items[child]!, item)) break;
      items[index] = items[child]!;
      index = child;
    }
    items[index] = item;
  }
}
