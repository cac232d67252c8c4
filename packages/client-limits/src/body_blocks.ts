/** Chunks of at least this size are kept as they are; smaller ones are joined. */
const LARGE_CHUNK_BYTES = 8_192;

const FIRST_BLOCK_BYTES = 512;
const LARGEST_BLOCK_BYTES = 16_384;

/** What a buffer costs beside its bytes. */
const BUFFER_OVERHEAD_BYTES = 256;

/** The bytes of a body, in blocks whose number does not follow the chunks'. */
export class BodyBlocks {
  private readonly blocks: Buffer[] = [];
  private last: Buffer | undefined;
  private lastUsed = 0;
  private held = 0;

  private constructor() {}

  static create(): BodyBlocks {
    return new BodyBlocks();
  }

  /** Bytes of memory that are held. */
  get heldBytes(): number {
    return this.held;
  }

  add(chunk: Buffer): void {
    if (chunk.length >= LARGE_CHUNK_BYTES) {
      this.closeBlock();
      this.blocks.push(chunk);
      this.held += chunk.length + BUFFER_OVERHEAD_BYTES;
      return;
    }
    if (!this.last || this.last.length - this.lastUsed < chunk.length) {
      this.closeBlock();
      const wanted = Math.max(FIRST_BLOCK_BYTES, this.held, chunk.length);
      this.last = Buffer.allocUnsafeSlow(Math.min(wanted, LARGEST_BLOCK_BYTES));
      this.held += this.last.length + BUFFER_OVERHEAD_BYTES;
    }
    this.lastUsed += chunk.copy(this.last, this.lastUsed);
  }

  join(): Buffer {
    this.closeBlock();
    const [first] = this.blocks;
    return first && this.blocks.length === 1
      ? first
      : Buffer.concat(this.blocks);
  }

  private closeBlock(): void {
    if (this.last) this.blocks.push(this.last.subarray(0, this.lastUsed));
    this.last = undefined;
    this.lastUsed = 0;
  }
}
