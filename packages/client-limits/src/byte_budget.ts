/** Bytes that all connections of a process may hold together. */
export class ByteBudget {
  private used = 0;

  private constructor(private readonly total: number) {}

  static create(total: number): ByteBudget {
    return new ByteBudget(total);
  }

  get usedBytes(): number {
    return this.used;
  }

  /** Takes nothing and returns false if the sum would exceed the share. */
  take(bytes: number, share: number): boolean {
    if (this.used + bytes > this.total * share) return false;
    this.used += bytes;
    return true;
  }

  release(bytes: number): void {
    this.used -= bytes;
  }
}
