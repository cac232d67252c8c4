import {setMaxListeners} from 'node:events';
import {CallerServer} from '@cardamomfield/caller-api';
import type {PeerMesh} from '@cardamomfield/peers';
import type {DependencyContainer} from 'tsyringe';
import {EntryParts} from './entry_parts.js';
import {GracefulStop} from './graceful_stop.js';
import {OperatorView} from './operator_view.js';
import {TOKENS} from './tokens.js';

/** Above the number of long-lived tasks, which all use one abort signal. */
const MAXIMUM_LISTENERS = 1_000;

/** The entry daemon, for `cardamomfield entry` and embedding programs. */
export class EntryHost {
  private readonly controller = createController();
  private readonly operator: OperatorView;
  private readonly server: CallerServer;

  private constructor(
    private readonly parts: EntryParts,
    private readonly mesh: PeerMesh,
  ) {
    const {settings, base} = parts;
    this.operator = OperatorView.create({
      ...parts,
      name: settings.processName,
      region: settings.region,
      availabilityZone: settings.availabilityZone,
      clock: base.clock,
      timeline: base.timeline,
      peers: () => base.network.livePeers(),
      traffic: () => ({
        byPeer: mesh.traffic.byPeer(),
        byOtherRegion: mesh.traffic.byOtherRegion(),
      }),
    });
    this.server = CallerServer.create({
      ...base,
      address: settings.callerAddress,
      port: settings.callerPort,
      region: settings.region,
      requests: parts.requests,
      operator: this.operator,
    });
  }

  /** Creates all components; `start` runs them and begins to listen. */
  static async create(container: DependencyContainer): Promise<EntryHost> {
    const parts = await EntryParts.create(container);
    const mesh = container.resolve<PeerMesh>(TOKENS.peerMesh);
    return new EntryHost(parts, mesh);
  }

  /** Starts all components and returns the listening ports. */
  async start(): Promise<{callerPort: number; peerPort: number}> {
    const {settings, base} = this.parts;
    const listening = await this.mesh.listen();
    if (listening.isLeft()) throw listening.extract();
    const peerPort = listening.unsafeCoerce();
    this.mesh.setPeers(settings.peers);
    void this.parts.run(this.controller.signal);
    const callerPort = await this.listen();
    base.timeline.record('process.started', {incarnation: base.incarnation});
    base.logger.info('entry host started', {callerPort, peerPort});
    return {callerPort, peerPort};
  }

  /** Without a port for callers, nothing else may keep the process running. */
  private async listen(): Promise<number> {
    try {
      return await this.server.listen();
    } catch (thrown) {
      this.controller.abort();
      await this.mesh.close();
      throw thrown;
    }
  }

  /**
   * Stops gracefully: waits for requests in flight, at most until the drain
   * deadline.
   */
  async stop(): Promise<void> {
    const {base, settings} = this.parts;
    const now = base.clock.monotonicNow();
    const deadline = now + settings.drainDeadlineMilliseconds;
    const {parts, operator, server} = this;
    await GracefulStop.create(parts, operator, server).run(deadline);
    this.controller.abort();
    await this.mesh.close();
    base.logger.info('entry host stopped');
  }
}

/** All long-lived tasks listen to this controller's signal. */
function createController(): AbortController {
  const controller = new AbortController();
  setMaxListeners(MAXIMUM_LISTENERS, controller.signal);
  return controller;
}
