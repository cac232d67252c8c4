import type {Duplex} from 'node:stream';
import {BodyBlocks, type ByteBudget} from '@cardamomfield/client-limits';
import type {CallDeadline} from '@cardamomfield/clock';
import {
  InternalError,
  InvalidInputError,
  type TypedError,
  UnavailableError,
} from '@cardamomfield/errors';

/** Longest frame: a batch of starts with their payloads. */
const MAXIMUM_FRAME_BYTES = 16_000_000;

/** The stream is closed once more than this is buffered for a slow reader. */
const MAXIMUM_BUFFERED_BYTES = 4_000_000;

/** A frame without a new byte for this time closes its channel. */
const FRAME_PROGRESS_MILLISECONDS = 5_000;

const NEWLINE = '\n'.charCodeAt(0);

interface FrameStreamOptions {
  socket: Duplex;
  /** Bytes that unfinished frames of several streams may hold together. */
  budget?: ByteBudget;
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
  private partialLine = BodyBlocks.create();
  private partialBytes = 0;
  private takenBytes = 0;
  private progressTimer: NodeJS.Timeout | undefined;
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
    clearTimeout(this.progressTimer);
    let from = 0;
    for (;;) {
      if (this.isClosed) return;
      const end = chunk.indexOf(NEWLINE, from);
      if (end < 0) break;
      this.partialLine.add(chunk.subarray(from, end));
      const line = this.partialLine.join().toString('utf8');
      this.dropPartialLine();
      from = end + 1;
      this.readLine(line);
    }
    if (from < chunk.length) this.keepPartialLine(chunk.subarray(from));
  }

  private keepPartialLine(bytes: Buffer): void {
    this.partialLine.add(bytes);
    this.partialBytes += bytes.length;
    const more = this.partialLine.heldBytes - this.takenBytes;
    if (
      this.partialBytes > MAXIMUM_FRAME_BYTES ||
      this.options.budget?.take(more, 1) === false
    ) {
      this.terminate(
        InvalidInputError.create('frame exceeds the maximum length', {
          issues: [],
        }),
      );
      return;
    }
    this.takenBytes += more;
    this.progressTimer = setTimeout(
      () =>
        this.terminate(
          UnavailableError.create('frame not continued within its time limit'),
        ),
      FRAME_PROGRESS_MILLISECONDS,
    ).unref();
  }

  private dropPartialLine(): void {
    this.options.budget?.release(this.takenBytes);
    this.takenBytes = 0;
    this.partialBytes = 0;
    this.partialLine = BodyBlocks.create();
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
    clearTimeout(this.progressTimer);
    this.dropPartialLine();
    this.options.socket.destroy();
    this.options.onClosed(cause);
  }
}
