/** Number of fencing tokens of each epoch. */
const TOKENS_PER_EPOCH = 10_000;

/**
 * The fencing tokens that an owner's orders carry. They begin with its epoch and
 * rise when a worker has restarted, so that the new incarnation refuses orders
 * that were meant for the former one and are carried out late. All tokens are
 * above those of earlier owners and below those of later ones.
 */
export class FencingSequence {
  private constructor(
    private readonly epoch: number,
    private token: number,
  ) {}

  static create(epoch: number): FencingSequence {
    return new FencingSequence(epoch, epoch);
  }

  /**
   * The epoch of the owner that follows an epoch. Owners of earlier versions
   * raise the epoch by one and use it as their only token.
   */
  static nextEpoch(epoch: number): number {
    return (Math.floor(epoch / TOKENS_PER_EPOCH) + 1) * TOKENS_PER_EPOCH;
  }

  /** The highest token so far. */
  get current(): number {
    return this.token;
  }

  /** Returns a higher token; undefined if the epoch has no further ones. */
  raise(): number | undefined {
    if (this.token + 1 >= this.epoch + TOKENS_PER_EPOCH) return undefined;
    return ++this.token;
  }
}
