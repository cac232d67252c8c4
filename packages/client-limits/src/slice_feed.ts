import type {Socket} from 'node:net';

/**
 * Bytes that the HTTP parser gets at once. Node parses all that a socket has
 * brought, up to 64 KB, before it can pause: 3,600 short requests of 1.5 KB
 * of memory or more each. A slice holds 57 of them.
 */
const SLICE_BYTES = 1_024;

interface SliceFeedOptions {
  socket: Socket;
  /** Whether the parser should get no more bytes for now. */
  isFull: () => boolean;
}

/** Passes the bytes of a socket to Node's HTTP parser in slices. */
export class SliceFeed {
  private readonly parse: (chunk: Buffer) => void;
  private readonly listener = (chunk: Buffer) => this.receive(chunk);
  private rest: Buffer | undefined;
  private isFeeding = false;
  /** Bytes that the parser got so far, and those of its last slice. */
  private fedBytes = 0;
  private sliceBytes = 0;
  /** Number of the byte before which no other request begins. */
  private bodyEnd = 0;

  private constructor(private readonly options: SliceFeedOptions) {
    const {socket} = options;
    const listeners = socket.listeners('data');
    this.parse = chunk => {
      for (const listener of listeners) listener.call(socket, chunk);
    };
    // A listener of its own makes Node read the socket in JavaScript.
    socket.on('data', this.listener);
    for (const listener of listeners) {
      socket.off('data', listener as (chunk: Buffer) => void);
    }
    socket.on('resume', () => this.feed());
  }

  static create(options: SliceFeedOptions): SliceFeed {
    return new SliceFeed(options);
  }

  /** Whether bytes wait for the parser. */
  get hasRest(): boolean {
    return this.rest !== undefined;
  }

  /**
   * Passes the body of the request in the last slice on in one piece, since its
   * declared length shows that it holds no other request.
   */
  expectBody(bytes: number): void {
    this.bodyEnd = this.fedBytes - this.sliceBytes + bytes;
  }

  /** Gives the socket back, with the bytes that the parser did not get. */
  release(): void {
    this.options.socket.off('data', this.listener);
    const {rest} = this;
    this.rest = undefined;
    if (rest) this.options.socket.unshift(rest);
  }

  /** Passes on bytes that had to wait. */
  feed(): void {
    const {socket, isFull} = this.options;
    if (this.isFeeding) return;
    this.isFeeding = true;
    while (this.rest && !socket.destroyed && !socket.isPaused() && !isFull()) {
      const {rest} = this;
      const size = Math.max(SLICE_BYTES, this.bodyEnd - this.fedBytes);
      const slice = rest.subarray(0, size);
      this.rest = rest.length > size ? rest.subarray(size) : undefined;
      this.sliceBytes = slice.length;
      this.fedBytes += slice.length;
      this.parse(slice);
    }
    this.isFeeding = false;
    if (socket.destroyed) this.rest = undefined;
    else if (this.rest && !socket.isPaused()) socket.pause();
  }

  private receive(chunk: Buffer): void {
    this.rest = this.rest ? Buffer.concat([this.rest, chunk]) : chunk;
    this.feed();
  }
}
