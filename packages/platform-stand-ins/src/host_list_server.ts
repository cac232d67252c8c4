import {HostEntry} from '@cardamomfield/platform';
import {z} from 'zod';
import type {HostListService} from './host_list_service.js';
import {StandInServer} from './stand_in_server.js';

const Lag = z.strictObject({lagMilliseconds: z.number().nonnegative()});

interface HostListServerOptions {
  service: HostListService;
  address?: string;
  port?: number;
}

/** Serves a host list over HTTP. */
export class HostListServer {
  private constructor(
    readonly service: HostListService,
    private readonly server: StandInServer,
  ) {}

  static async create(options: HostListServerOptions): Promise<HostListServer> {
    const {service} = options;
    const server = await StandInServer.create(
      {...options, faults: service.faults},
      created => addRoutes(created, service),
    );
    return new HostListServer(service, server);
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

function addRoutes(server: StandInServer, service: HostListService): void {
  server.app.get('/hosts', async (request, response) => {
    await server.route({
      request,
      response,
      call: () => service.list(),
      body: hosts => ({hosts}),
    });
  });
  server.app.put('/control/hosts', (request, response) => {
    const entry = server.parse(HostEntry, request.body, response);
    if (!entry) return;
    service.put(entry);
    response.status(200).json({});
  });
  server.app.delete('/control/hosts/:name', (request, response) => {
    service.remove(request.params.name!);
    response.status(200).json({});
  });
  server.app.put('/control/lag', (request, response) => {
    const lag = server.parse(Lag, request.body, response);
    if (!lag) return;
    service.setLag(lag.lagMilliseconds);
    response.status(200).json({});
  });
}
