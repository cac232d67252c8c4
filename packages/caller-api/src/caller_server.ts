import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {App, type Request, type Response} from '@tinyhttp/app';
import {
  ClientLimits,
  GuardedServer,
  LimitReporter,
} from '@cardamomfield/client-limits';
import type {Clock} from '@cardamomfield/clock';
import {NotFoundError, toTypedError} from '@cardamomfield/errors';
import type {Logger} from '@cardamomfield/logger';
import type {Metrics} from '@cardamomfield/metrics';
import {OperatorRoutes} from './operator_routes.js';
import type {OperatorService} from './operator_service.js';
import {RequestRoutes} from './request_routes.js';
import type {RequestService} from './request_service.js';
import {sendProblem} from './send_problem.js';

/** The rest is for other hosts and the platform. */
const CONNECTION_SHARE = 0.5;

interface CallerServerOptions {
  /** IP address to listen on. */
  address: string;
  /** 0 lets the operating system choose a port. */
  port: number;
  region: string;
  clock: Clock;
  logger: Logger;
  metrics?: Metrics;
  requests: RequestService;
  operator: OperatorService;
}

/** HTTP server for callers and operators. */
export class CallerServer {
  private constructor(
    private readonly options: CallerServerOptions,
    private readonly server: Server,
  ) {}

  static create(options: CallerServerOptions): CallerServer {
    const limits = ClientLimits.create({
      reporter: options.metrics
        ? LimitReporter.create({...options, metrics: options.metrics})
        : undefined,
    });
    const app = createApp(options, limits);
    const {server} = GuardedServer.create({
      limits,
      name: 'callers',
      connectionShare: CONNECTION_SHARE,
      // tinyhttp adds its own members to both objects before a route runs.
      onRequest: (request, response) =>
        void app.handler(request as Request, response as Response),
    });
    return new CallerServer(options, server);
  }

  /** Starts to listen and returns the port. */
  listen(): Promise<number> {
    const {address, port} = this.options;
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, address, () => {
        this.server.off('error', reject);
        resolve((this.server.address() as AddressInfo).port);
      });
    });
  }

  /** Stops accepting connections; resolves once all responses are sent. */
  close(): Promise<void> {
    return new Promise(resolve => {
      this.server.close(() => resolve());
      this.server.closeIdleConnections();
    });
  }
}

function createApp(
  options: CallerServerOptions,
  clientLimits: ClientLimits,
): App {
  const {logger} = options;
  const app = new App({
    noMatchHandler: (request, response) => {
      const message = `there is no route ${request.method} ${request.path}`;
      sendProblem(response, NotFoundError.create(message));
    },
    onError: (thrown: unknown, _request, response) => {
      const error = toTypedError(thrown);
      logger.error('request handler failed', {...error.toJSON()});
      if (response.headersSent) response.destroy();
      else sendProblem(response, error);
    },
  });
  RequestRoutes.create({...options, clientLimits}).register(app);
  OperatorRoutes.create(options.operator, clientLimits).register(app);
  return app;
}
