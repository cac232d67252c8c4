import type {Clock} from '@cardamomfield/clock';
import {platformWire} from '@cardamomfield/platform-http';
import {z} from 'zod';
import type {LogService} from './log_service.js';
import {monotonicWait} from './monotonic_wait.js';
import {StandInServer} from './stand_in_server.js';

const ReadQuery = z.object({
  from: z.coerce.number().int().nonnegative(),
  maximumRecords: z.coerce.number().int().positive(),
  waitUntil: z.coerce.number().int().optional(),
});

interface LogServerOptions {
  service: LogService;
  clock: Clock;
  address?: string;
  port?: number;
}

/** Serves a log service over HTTP. */
export class LogServer {
  private constructor(
    readonly service: LogService,
    private readonly server: StandInServer,
  ) {}

  static async create(options: LogServerOptions): Promise<LogServer> {
    const {service} = options;
    const server = await StandInServer.create(
      {...options, faults: service.faults},
      created => addRoutes(created, options),
    );
    return new LogServer(service, server);
  }

  /** The base URL. */
  address(): string {
    return this.server.address();
  }

  port(): number {
    return this.server.port();
  }

  /** Stops answering on established connections, permanently. */
  silenceEstablished(): void {
    this.server.silenceEstablished();
  }

  close(): Promise<void> {
    return this.server.close();
  }
}

function addRoutes(server: StandInServer, options: LogServerOptions): void {
  const {service, clock} = options;
  server.app.post('/streams/:stream/records', async (request, response) => {
    const stream = request.params.stream!;
    const schema = platformWire.appendRequest;
    const appendRequest = server.parse(schema, request.body, response);
    if (!appendRequest) return;
    await server.route({
      request,
      response,
      call: () => service.append(stream, appendRequest.body),
      body: offset => ({offset}),
    });
  });
  server.app.get('/streams/:stream/records', async (request, response) => {
    const stream = request.params.stream!;
    const query = server.parse(ReadQuery, request.query, response);
    if (!query) return;
    const wait = monotonicWait(clock, query.waitUntil);
    const {from, maximumRecords} = query;
    await server.route({
      request,
      response,
      call: () => service.read({stream, from, maximumRecords, ...wait}),
      body: page => page,
    });
  });
}
