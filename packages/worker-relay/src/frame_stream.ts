import type {Duplex} from 'node:stream';
import {StringDecoder} from 'node:string_decoder';
import type {CallDeadline} from '@cardamomfield/clock';
import {
  InternalError,
  InvalidInputError,
  type TypedError,
  UnavailableError,
} from '@cardamomfield/errors';

/** Longest frame: a batch of starts with their payloads. */
const MAXIMUM_FRAME_CHARACTERS = 16_000_000;

/** The stream is closed once more than this is buffered for a slow reader. */
const MAXIMUM_BUFFERED_BYTES = 4_000_000;

interface FrameStreamOptions {
  socket: Duplex;
  /** Time for which messages are batched; 0 for one event loop iteration. */
  batchMilliseconds: number;
  onMessage: (message: unknown) => void;
  /** Called once; `cause` is undefined when `close` was called. */
  onClosed: (cause: TypedError | undefined) => void;
}

interface QueuedMessage {
  text: string;
  deadline: CallDeadline | undefined;
}

/**
 * Messages over a byte stream: each line is a frame, a JSON array of messages.
 * Small messages are batched into a frame, since a write and a wake-up cost
 * more than the message itself.
 */
export class FrameStream {
  private readonly decoder = new StringDecoder('utf8');
  private partialLine = '';
  private queuedMessages: QueuedMessage[] = [];
  private isFlushScheduled = false;
  private isClosed = false;

  private constructor(private readonly options: FrameStreamOptions) {
    const {socket} = options;
    socket.on('data', (chunk: Buffer) => this.receive(chunk));
    socket.on('error', error =>
      this.terminate(
        UnavailableError.create(`channel failed: ${error.message}`),
      ),
    );
    socket.on('close', () =>
      this.terminate(UnavailableError.create('channel closed by the peer')),
    );
  }

  static create(options: FrameStreamOptions): FrameStream {
    return new FrameStream(options);
  }

  /** Sends a message, unless its deadline has passed by the time it leaves. */
  send(message: unknown, deadline?: CallDeadline): void {
    if (this.isClosed) return;
    this.queuedMessages.push({text: JSON.stringify(message), deadline});
    if (this.isFlushScheduled) return;
    this.isFlushScheduled = true;
    const {batchMilliseconds} = this.options;
    if (batchMilliseconds === 0) setImmediate(() => this.flush());
    else setTimeout(() => this.flush(), batchMilliseconds);
  }

  close(): void {
    this.terminate(undefined);
  }

  private flush(): void {
    this.isFlushScheduled = false;
    if (this.isClosed) return;
    const texts = this.queuedMessages
      .filter(({deadline}) => !deadline?.hasPassed)
      .map(({text}) => text);
    this.queuedMessages = [];
    if (texts.length === 0) return;
    this.options.socket.write(`[${texts.join(',')}]\n`);
    if (this.options.socket.writableLength > MAXIMUM_BUFFERED_BYTES) {
      this.terminate(
        UnavailableError.create(
          'peer reads too slowly; send buffer limit exceeded',
        ),
      );
    }
  }

  private receive(chunk: Buffer): void {
    const lines = (this.partialLine + this.decoder.write(chunk)).split('\n');
    this.partialLine = lines.pop() ?? '';
    if (this.partialLine.length > MAXIMUM_FRAME_CHARACTERS) {
      this.terminate(
        InvalidInputError.create('frame exceeds the maximum length', {
          issues: [],
        }),
      );
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
      this.terminate(
        InvalidInputError.create('frame is not valid JSON', {
          issues: [String(thrown)],
        }),
      );
      return;
    }
    if (!Array.isArray(messages)) {
      this.terminate(
        InvalidInputError.create('frame is not a JSON array', {issues: []}),
      );
      return;
    }
    for (const message of messages) {
      // The handler of an earlier message may have closed the stream.
      if (this.isClosed) return;
      try {
        this.options.onMessage(message);
      } catch (thrown) {
        this.terminate(
          InternalError.create(`message handler failed: ${String(thrown)}`),
        );
        return;
      }
    }
  }

  private terminate(cause: TypedError | undefined): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.options.socket.destroy();
    this.options.onClosed(cause);
  }
}
