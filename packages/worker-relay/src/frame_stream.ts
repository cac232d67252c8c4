import type {Duplex} from 'node:stream';
import {StringDecoder} from 'node:string_decoder';
import {
  InternalError,
  InvalidInputError,
  type TypedError,
  UnavailableError,
} from '@cardamomfield/errors';

/** Longest frame: a batch of starts with their payloads. */
const MAXIMUM_FRAME_CHARACTERS = 16_000_000;

/** A peer that does not read is given up once this much waits for it. */
const MAXIMUM_WAITING_BYTES = 4_000_000;

interface FrameStreamOptions {
  socket: Duplex;
  /** Messages within this span share a frame; 0 for one turn of the loop. */
  batchMilliseconds: number;
  onMessage: (message: unknown) => void;
  /** Called once; `cause` is undefined when `close` was called. */
  onClosed: (cause: TypedError | undefined) => void;
}

/**
 * Messages over a byte stream: each line is a JSON array of messages. Many
 * small messages share a line, since each write and each wake-up costs more
 * than the message itself.
 */
export class FrameStream {
  private readonly decoder = new StringDecoder('utf8');
  private partial = '';
  private outbox: string[] = [];
  private isFlushDue = false;
  private isClosed = false;

  private constructor(private readonly options: FrameStreamOptions) {
    const {socket} = options;
    socket.on('data', (chunk: Buffer) => this.receive(chunk));
    socket.on('error', error =>
      this.end(UnavailableError.create(`channel broken: ${error.message}`)),
    );
    socket.on('close', () =>
      this.end(UnavailableError.create('channel closed by the other side')),
    );
  }

  static create(options: FrameStreamOptions): FrameStream {
    return new FrameStream(options);
  }

  send(message: unknown): void {
    if (this.isClosed) return;
    this.outbox.push(JSON.stringify(message));
    if (this.isFlushDue) return;
    this.isFlushDue = true;
    const {batchMilliseconds} = this.options;
    if (batchMilliseconds === 0) setImmediate(() => this.flush());
    else setTimeout(() => this.flush(), batchMilliseconds);
  }

  close(): void {
    this.end(undefined);
  }

  private flush(): void {
    this.isFlushDue = false;
    if (this.isClosed) return;
    const frame = `[${this.outbox.join(',')}]\n`;
    this.outbox = [];
    this.options.socket.write(frame);
    if (this.options.socket.writableLength > MAXIMUM_WAITING_BYTES) {
      this.end(UnavailableError.create('the other side reads too slowly'));
    }
  }

  private receive(chunk: Buffer): void {
    const lines = (this.partial + this.decoder.write(chunk)).split('\n');
    this.partial = lines.pop() ?? '';
    if (this.partial.length > MAXIMUM_FRAME_CHARACTERS) {
      this.end(InvalidInputError.create('a frame is too long', {issues: []}));
      return;
    }
    for (const line of lines) {
      if (this.isClosed) return;
      this.readLine(line);
    }
  }

  private readLine(line: string): void {
    let messages: unknown;
    try {
      messages = JSON.parse(line);
    } catch (thrown) {
      this.end(
        InvalidInputError.create('a frame is not JSON', {
          issues: [String(thrown)],
        }),
      );
      return;
    }
    if (!Array.isArray(messages)) {
      this.end(InvalidInputError.create('a frame is no array', {issues: []}));
      return;
    }
    for (const message of messages) {
      try {
        this.options.onMessage(message);
      } catch (thrown) {
        this.end(
          InternalError.create(`message not handled: ${String(thrown)}`),
        );
        return;
      }
    }
  }

  private end(cause: TypedError | undefined): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.options.socket.destroy();
    this.options.onClosed(cause);
  }
}
