import {createServer, type Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {
  InvalidInputError,
  NotFoundError,
  RefusedError,
  type TypedError,
  UnavailableError,
} from '@cardamomfield/errors';
import {App, type Request, type Response} from '@tinyhttp/app';
import {json} from 'milliparsec';
import type {Either} from 'purify-ts';
import type {z} from 'zod';
import type {CallOutcome} from './call_outcome.js';
import type {FaultInjector} from './fault_injector.js';
import {FaultSettings} from './fault_settings.js';

const MAXIMUM_REQUEST_BYTES = 16 * 1_048_576;

interface StandInServerOptions {
  faults: FaultInjector;
  /** IP address to listen on. */
  address?: string;
  /** 0 selects a free port. */
  port?: number;
}

interface RouteOptions<Answer> {
  request: Request;
  response: Response;
  call: () => Promise<CallOutcome<Either<TypedError, Answer>>>;
  /** Creates the response body of a successful call. */
  body: (answer: Answer) => unknown;
}

/** HTTP server of a stand-in, with the routes that control its faults. */
export class StandInServer {
  readonly app = new App();
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private readonly silenced = new WeakSet<Socket>();

  private constructor(private readonly faults: FaultInjector) {
    this.server = createServer((request, response) => {
      if (this.silenced.has(request.socket)) return;
      this.app.attach(request as Request, response as Response);
    });
    this.server.keepAliveTimeout = 0;
    this.server.on('connection', socket => this.track(socket));
    this.app.use(json({payloadLimit: MAXIMUM_REQUEST_BYTES}));
    this.addControlRoutes();
  }

  /** Adds the routes of the stand-in, then starts listening. */
  static async create(
    options: StandInServerOptions,
    addRoutes: (server: StandInServer) => void,
  ): Promise<StandInServer> {
    const server = new StandInServer(options.faults);
    addRoutes(server);
    await server.listen(options.address ?? '127.0.0.1', options.port ?? 0);
    return server;
  }

  /** The port that the server listens on. */
  port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** The base URL. */
  address(): string {
    const {address, port} = this.server.address() as AddressInfo;
    return `http://${address}:${port}`;
  }

  /**
   * Stops answering on established connections, permanently; new connections
   * work. A request in progress may still take effect, but is not answered.
   */
  silenceEstablished(except?: Socket): void {
    for (const socket of this.sockets) {
      if (socket !== except) this.silenced.add(socket);
    }
  }

  /** Closes all connections and stops listening. */
  async close(): Promise<void> {
    const closed = new Promise(resolve => this.server.close(resolve));
    for (const socket of this.sockets) socket.destroy();
    await closed;
  }

  /** Makes one call and responds according to its outcome. */
  async route<Answer>(options: RouteOptions<Answer>): Promise<void> {
    const {request, response} = options;
    const result = await options.call();
    if (result.kind === 'silent') return;
    if (this.silenced.has(request.socket)) return;
    if (result.kind === 'lost') {
      request.socket.destroy();
      return;
    }
    if (result.kind === 'unavailable') {
      sendFailure(response, UnavailableError.create('injected outage'));
      return;
    }
    result.answer.caseOf({
      Left: error => sendFailure(response, error),
      Right: answer => sendJson(response, 200, options.body(answer)),
    });
  }

  /** Parses input. If it is invalid, answers 400 and returns undefined. */
  parse<Value>(
    schema: z.ZodType<Value>,
    input: unknown,
    response: Response,
  ): Value | undefined {
    const parsed = schema.safeParse(input);
    if (parsed.success) return parsed.data;
    sendFailure(response, InvalidInputError.create(parsed.error.message));
    return undefined;
  }

  private listen(address: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, address, () => resolve());
    });
  }

  private track(socket: Socket): void {
    this.sockets.add(socket);
    socket.on('close', () => this.sockets.delete(socket));
    // A caller that cancels a request resets its connection.
    socket.on('error', () => {});
  }

  private addControlRoutes(): void {
    this.app.get('/control/faults', (_request, response) => {
      sendJson(response, 200, this.faults.current());
    });
    this.app.put('/control/faults', (request, response) => {
      const schema = FaultSettings.partial();
      const faults = this.parse(schema, request.body, response);
      if (!faults) return;
      this.faults.set(faults as Partial<FaultSettings>);
      sendJson(response, 200, this.faults.current());
    });
    this.app.post('/control/silence-established', (request, response) => {
      this.silenceEstablished(request.socket);
      sendJson(response, 200, {});
    });
  }
}

function sendFailure(response: Response, error: TypedError): void {
  sendJson(response, statusOf(error), error.toJSON());
}

function statusOf(error: TypedError): number {
  if (error instanceof InvalidInputError) return 400;
  if (error instanceof NotFoundError) return 404;
  if (error instanceof RefusedError) return 409;
  if (error instanceof UnavailableError) return 503;
  return 500;
}

function sendJson(response: Response, status: number, body: unknown): void {
  if (response.destroyed) return;
  response.writeHead(status, {'content-type': 'application/json'});
  response.end(JSON.stringify(body));
}
