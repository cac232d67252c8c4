import type {Socket} from 'node:net';
import {
  InvalidInputError,
  type TypedError,
  UnavailableError,
} from '@cardamomfield/errors';
import type {Timeline} from '@cardamomfield/timeline';
import {type Either, Left, Right} from 'purify-ts';
import {encodeFrame} from './encode_frame.js';
import {Envelope} from './envelope.js';
import {FRAME_HEADER_BYTES} from './frame_header.js';
import type {PeerLimits} from './peer_limits.js';
import {readFrames} from './read_frames.js';

interface PeerSocketOptions {
  socket: Socket;
  limits: PeerLimits;
  timeline: Timeline;
}

interface ReceivedMessage {
  message: Envelope['message'];
  bytes: number;
}

/** Sends and receives framed, timestamped messages over one TCP socket. */
export class PeerSocket {
  private readonly socket: Socket;
  private readonly limits: PeerLimits;
  private readonly timeline: Timeline;
  private readonly closed = new AbortController();
  private readonly frames: AsyncGenerator<Buffer>;

  private constructor(options: PeerSocketOptions) {
    this.socket = options.socket;
    this.limits = options.limits;
    this.timeline = options.timeline;
    const limit = this.limits.maximumFrameBytes;
    this.frames = readFrames(this.socket, limit);
    this.socket.setNoDelay(true);
    // Errors are handled in `receive`: they end the iteration over the socket.
    this.socket.on('error', () => {});
    this.socket.on('close', () => this.closed.abort());
  }

  static create(options: PeerSocketOptions): PeerSocket {
    return new PeerSocket(options);
  }

  /** Aborts when the socket closes. */
  get closing(): AbortSignal {
    return this.closed.signal;
  }

  /** Next message, or undefined after the last. Throws on a malformed frame. */
  async receive(): Promise<ReceivedMessage | undefined> {
    const next = await this.frames.next();
    if (next.done) return undefined;
    const envelope = parse(next.value);
    this.timeline.observe(envelope.time);
    const bytes = FRAME_HEADER_BYTES + next.value.length;
    return {message: envelope.message, bytes};
  }

  /** Queues a message and returns its size; on an error nothing is sent. */
  send(message: unknown): Either<TypedError, number> {
    if (this.closing.aborted) {
      return Left(UnavailableError.create('connection is closed'));
    }
    const frame = encodeFrame({time: this.timeline.now(), message});
    if (frame.length - FRAME_HEADER_BYTES > this.limits.maximumFrameBytes) {
      return Left(tooLarge(frame.length, this.limits.maximumFrameBytes));
    }
    const buffered = this.socket.writableLength + frame.length;
    if (buffered > this.limits.maximumSendBufferBytes) {
      return Left(
        UnavailableError.create('send buffer is full', {
          reason: 'send-buffer-full',
        }),
      );
    }
    this.socket.write(frame);
    return Right(frame.length);
  }

  /** Closes the connection immediately and discards buffered bytes. */
  destroy(): void {
    this.closed.abort();
    this.socket.destroy();
  }

  /** Sends the buffered bytes, then closes the connection. */
  end(): void {
    this.socket.destroySoon();
  }
}

function parse(frame: Buffer): Envelope {
  try {
    return Envelope.parse(JSON.parse(frame.toString('utf8')));
  } catch (error) {
    throw InvalidInputError.create(
      'frame is not a valid message',
      {reason: 'malformed-frame', length: frame.length},
      error,
    );
  }
}

function tooLarge(length: number, limit: number): InvalidInputError {
  return InvalidInputError.create(
    `message of ${length} bytes exceeds the limit of ${limit}`,
    {reason: 'frame-too-large', length},
  );
}
