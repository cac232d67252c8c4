import type {Clock} from '@cardamomfield/clock';
import {TaskStart} from '@cardamomfield/platform';
import {platformWire} from '@cardamomfield/platform-http';
import {z} from 'zod';
import {monotonicWait} from './monotonic_wait.js';
import {StandInServer} from './stand_in_server.js';
import {WorkerBehaviour} from './worker_behaviour.js';
import type {WorkerService} from './worker_service.js';

const WatchQuery = z.object({
  incarnation: z.string().optional(),
  sequence: z.coerce.number().int().nonnegative().optional(),
  waitUntil: z.coerce.number().int().optional(),
});

interface WorkerServerOptions {
  service: WorkerService;
  clock: Clock;
  address?: string;
  port?: number;
}

/** Serves a stand-in worker over HTTP. */
export class WorkerServer {
  private constructor(
    readonly service: WorkerService,
    private readonly server: StandInServer,
  ) {}

  static async create(options: WorkerServerOptions): Promise<WorkerServer> {
    const {service} = options;
    const server = await StandInServer.create(
      {...options, faults: service.faults},
      created => {
        addTaskRoutes(created, service);
        addListRoutes(created, options);
        addControlRoutes(created, service);
      },
    );
    return new WorkerServer(service, server);
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

function addTaskRoutes(server: StandInServer, service: WorkerService): void {
  server.app.post('/tasks', async (request, response) => {
    const start = server.parse(TaskStart, request.body, response);
    if (!start) return;
    await server.route({
      request,
      response,
      call: () => service.start(start),
      body: () => ({}),
    });
  });
  server.app.post('/tasks/stop', async (request, response) => {
    const schema = platformWire.taskRequest;
    const stopRequest = server.parse(schema, request.body, response);
    if (!stopRequest) return;
    await server.route({
      request,
      response,
      call: () => service.stop(stopRequest.task),
      body: () => ({}),
    });
  });
  server.app.post('/tasks/checkpoint', async (request, response) => {
    const schema = platformWire.taskRequest;
    const checkpointRequest = server.parse(schema, request.body, response);
    if (!checkpointRequest) return;
    await server.route({
      request,
      response,
      call: () => service.checkpoint(checkpointRequest.task),
      body: checkpoint => ({checkpoint}),
    });
  });
  server.app.post('/tasks/throttle', async (request, response) => {
    const schema = platformWire.throttleRequest;
    const throttleRequest = server.parse(schema, request.body, response);
    if (!throttleRequest) return;
    await server.route({
      request,
      response,
      call: () =>
        service.throttle(
          throttleRequest.task,
          throttleRequest.processorMillicores,
        ),
      body: () => ({}),
    });
  });
}

function addListRoutes(
  server: StandInServer,
  options: WorkerServerOptions,
): void {
  const {service, clock} = options;
  server.app.post('/leases', async (request, response) => {
    const schema = platformWire.renewRequest;
    const renewRequest = server.parse(schema, request.body, response);
    if (!renewRequest) return;
    await server.route({
      request,
      response,
      call: () => service.renewLeases(renewRequest.renewals),
      body: ended => ({ended}),
    });
  });
  server.app.get('/tasks', async (request, response) => {
    const query = server.parse(WatchQuery, request.query, response);
    if (!query) return;
    const {incarnation, sequence} = query;
    const hasAfter = incarnation !== undefined && sequence !== undefined;
    await server.route({
      request,
      response,
      call: () =>
        service.watch({
          ...(hasAfter && {after: {incarnation, sequence}}),
          ...monotonicWait(clock, query.waitUntil),
        }),
      body: snapshot => snapshot,
    });
  });
}

function addControlRoutes(server: StandInServer, service: WorkerService): void {
  server.app.put('/control/behaviour', (request, response) => {
    const schema = WorkerBehaviour.partial();
    const behaviour = server.parse(schema, request.body, response);
    if (!behaviour) return;
    service.setBehaviour(behaviour as Partial<WorkerBehaviour>);
    response.status(200).json({});
  });
  server.app.post('/control/restart', (_request, response) => {
    service.restart();
    response.status(200).json({});
  });
  server.app.get('/control/ledger', (_request, response) => {
    const {ledger} = service;
    response.status(200).json({
      starts: ledger.all(),
      overlaps: ledger.overlaps(),
      peakReserved: ledger.peakReserved(service.name),
    });
  });
}
