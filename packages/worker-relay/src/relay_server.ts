import type {Duplex} from 'node:stream';
import {ByteBudget} from '@cardamomfield/client-limits';
import type {
  WorkerDescription,
  WorkerLink,
  WorkerLinks,
} from '@cardamomfield/cell-model';
import {type Clock, PauseDetector} from '@cardamomfield/clock';
import {ConflictError, type TypedError} from '@cardamomfield/errors';
import type {Logger} from '@cardamomfield/logger';
import {JSONRPCServer, isJSONRPCRequest} from 'json-rpc-2.0';
import type {Either} from 'purify-ts';
import type {z} from 'zod';
import {FrameStream} from './frame_stream.js';
import {RelayFailure} from './relay_failure.js';
import {RelayMessages} from './relay_messages.js';
import {RelayMethod} from './relay_method.js';
import {RelayedWorkerLink} from './relayed_worker_link.js';
import {StallDetector} from './stall_detector.js';
import {WorkerLinkPool} from './worker_link_pool.js';

/** Time for which answers are batched; it adds to the latency of an answer. */
const BATCH_MILLISECONDS = 4;

/** Allowance for the way of an order from its owner to this host. */
const TRANSIT_MILLISECONDS = 20;

/**
 * Time without a turn of the event loop after which channels are closed: what
 * is forwarded after a shorter one is still waited for by its owner.
 */
const STALL_LIMIT_MILLISECONDS =
  RelayedWorkerLink.orderTimeoutMilliseconds - TRANSIT_MILLISECONDS;

/**
 * Bytes of unfinished frames on all channels: one frame of the largest size and
 * some smaller ones.
 */
const FRAME_BUDGET_BYTES = 24_000_000;

interface RelayServerOptions {
  links: WorkerLinks;
  clock: Clock;
  logger: Logger;
}

/** One owner's channel to this host. */
interface OwnerChannel {
  epoch: number;
  stream: FrameStream;
  workers: Map<number, WorkerDescription>;
  payloads: Map<number, string>;
}

/**
 * Forwards an owner's calls to workers. Only the highest epoch seen is served.
 * After a pause or stall of this process all channels are closed, so that no
 * call that was buffered meanwhile is forwarded late.
 */
export class RelayServer {
  private readonly methods = new JSONRPCServer<OwnerChannel>({
    errorListener: (message, data) =>
      this.options.logger.warn('relay call failed', {
        cause: `${message} ${String(data)}`,
      }),
  });
  private readonly frameBudget = ByteBudget.create(FRAME_BUDGET_BYTES);
  private readonly pool: WorkerLinkPool;
  private readonly pauseDetector: PauseDetector;
  private readonly stallDetector: StallDetector;
  private readonly channels = new Set<OwnerChannel>();
  private highestEpoch = 0;

  private constructor(private readonly options: RelayServerOptions) {
    this.pool = WorkerLinkPool.create(options.links, options.clock);
    this.pauseDetector = PauseDetector.create(options.clock);
    this.stallDetector = StallDetector.create({
      clock: options.clock,
      limitMilliseconds: STALL_LIMIT_MILLISECONDS,
      onTurn: () => this.closeAfterPause(),
    });
    this.addMethods();
  }

  static create(options: RelayServerOptions): RelayServer {
    return new RelayServer(options);
  }

  /** Serves a channel that another host has opened. */
  serve(socket: Duplex): void {
    const {logger} = this.options;
    this.closeAfterPause();
    const channel: OwnerChannel = {
      epoch: 0,
      workers: new Map(),
      payloads: new Map(),
      stream: FrameStream.create({
        socket,
        budget: this.frameBudget,
        batchMilliseconds: BATCH_MILLISECONDS,
        onMessage: message => this.receive(channel, message),
        onClosed: cause => {
          this.channels.delete(channel);
          if (this.channels.size === 0) this.stallDetector.stop();
          logger.info('relay channel closed', {
            epoch: channel.epoch,
            cause: cause?.message,
          });
        },
      }),
    };
    this.channels.add(channel);
    this.stallDetector.start();
  }

  close(): void {
    this.closeChannels();
    this.pool.close();
  }

  private receive(channel: OwnerChannel, message: unknown): void {
    if (this.closeAfterPause()) return;
    if (!isJSONRPCRequest(message)) {
      this.options.logger.warn('relay message malformed', {
        epoch: channel.epoch,
      });
      channel.stream.close();
      return;
    }
    void this.methods.receive(message, channel).then(response => {
      if (response) channel.stream.send(response);
    });
  }

  /** Closes all channels if this process has not run for too long. */
  private closeAfterPause(): boolean {
    const pausedMilliseconds = Math.max(
      this.pauseDetector.takePause(),
      this.stallDetector.stalledMilliseconds,
    );
    this.pauseDetector.resetBaseline();
    if (pausedMilliseconds === 0) return false;
    this.options.logger.warn('relay channels closed after a process pause', {
      channels: this.channels.size,
      milliseconds: Math.round(pausedMilliseconds),
    });
    this.closeChannels();
    return true;
  }

  private closeChannels(): void {
    for (const channel of this.channels) channel.stream.close();
  }

  private addMethods(): void {
    this.addMethod(
      RelayMethod.open,
      RelayMessages.open,
      async (call, channel) => {
        if (call.epoch < this.highestEpoch) {
          throw ConflictError.create('this host serves a newer owner', {
            epoch: this.highestEpoch,
          });
        }
        this.highestEpoch = call.epoch;
        channel.epoch = call.epoch;
        for (const other of this.channels) {
          if (other.epoch < call.epoch) other.stream.close();
        }
        this.options.logger.info('relay channel opened', {
          owner: call.ownerName,
          epoch: call.epoch,
        });
        return {};
      },
    );
    this.addMethod(
      RelayMethod.openWorker,
      RelayMessages.openWorker,
      async ({handle, worker}, channel) => {
        channel.workers.set(handle, worker);
        return {};
      },
    );
    this.addMethod(
      RelayMethod.cachePayload,
      RelayMessages.cachePayload,
      async ({payloadKey, payload}, channel) => {
        channel.payloads.set(payloadKey, payload);
        return {};
      },
    );
    this.addMethod(
      RelayMethod.clearPayloads,
      RelayMessages.clearPayloads,
      async (_call, channel) => {
        channel.payloads.clear();
        return {};
      },
    );
    this.addMethod(RelayMethod.start, RelayMessages.start, (call, channel) => {
      const payload = channel.payloads.get(call.payloadKey);
      if (payload === undefined) {
        throw new RangeError(`no payload has the key ${call.payloadKey}`);
      }
      return this.linkOf(call.handle, channel).start({...call.order, payload});
    });
    this.addMethod(
      RelayMethod.stop,
      RelayMessages.stop,
      async (call, channel) =>
        encodeResult(
          await this.linkOf(call.handle, channel).stop(
            call.taskName,
            call.attempt,
            call.fence,
          ),
        ),
    );
    this.addMethod(
      RelayMethod.pace,
      RelayMessages.pace,
      async (call, channel) =>
        encodeResult(
          await this.linkOf(call.handle, channel).pace(
            call.taskName,
            call.attempt,
            call.percent,
            call.fence,
          ),
        ),
    );
    this.addMethod(
      RelayMethod.poll,
      RelayMessages.poll,
      async ({handle, order}, channel) => {
        const report = await this.linkOf(handle, channel).poll({
          ...order,
          // JSON omits undefined fields; the order's type requires this one.
          leaseEndWorkerMilliseconds: order.leaseEndWorkerMilliseconds,
        });
        return report.isRight()
          ? {report: report.extract()}
          : encodeResult(report as Either<TypedError, never>);
      },
    );
  }

  private addMethod<Parameters extends z.ZodType>(
    method: string,
    parameters: Parameters,
    handler: (
      call: z.infer<Parameters>,
      channel: OwnerChannel,
    ) => Promise<unknown>,
  ): void {
    this.methods.addMethod(method, (raw: unknown, channel: OwnerChannel) =>
      handler(parameters.parse(raw), channel),
    );
  }

  private linkOf(handle: number, channel: OwnerChannel): WorkerLink {
    const worker = channel.workers.get(handle);
    if (!worker) throw new RangeError(`no worker has the handle ${handle}`);
    return this.pool.linkTo(worker);
  }
}

function encodeResult(result: Either<TypedError, void>) {
  if (result.isRight()) return {};
  return {failure: RelayFailure.encode(result.extract() as TypedError)};
}
