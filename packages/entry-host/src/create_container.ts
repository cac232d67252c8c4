import 'reflect-metadata';
import {randomInt} from 'node:crypto';
import {
  type Clock,
  type RandomSource,
  SeededRandomSource,
  SystemClock,
} from '@cardamomfield/clock';
import {ConsolaLogger, type Logger} from '@cardamomfield/logger';
import {
  MemoryMetrics,
  type Metrics,
  StatsdMetrics,
} from '@cardamomfield/metrics';
import {SelfCallingNetwork} from '@cardamomfield/peer-protocol';
import {PeerMesh} from '@cardamomfield/peers';
import {
  HttpHostList,
  HttpPlatformLog,
  HttpWorkerConnector,
} from '@cardamomfield/platform-http';
import type {EntrySettings} from '@cardamomfield/settings';
import {Timeline} from '@cardamomfield/timeline';
import {
  container,
  type DependencyContainer,
  instanceCachingFactory,
} from 'tsyringe';
import {TOKENS} from './tokens.js';

const MAXIMUM_SEED = 2 ** 31 - 1;

/**
 * Registers the default components of one entry host. Programs that embed the
 * library may register replacements under the same tokens before first use.
 */
export function createContainer(settings: EntrySettings): DependencyContainer {
  const parts = container.createChildContainer();
  parts.register(TOKENS.settings, {useValue: settings});
  parts.register(TOKENS.incarnation, {useValue: createIncarnation()});
  registerSingleton(parts, TOKENS.clock, () => SystemClock.create());
  registerSingleton(parts, TOKENS.random, () =>
    SeededRandomSource.create(randomInt(MAXIMUM_SEED)),
  );
  registerSingleton(parts, TOKENS.logger, () => createLogger(settings));
  registerSingleton(parts, TOKENS.metrics, () => createMetrics(settings));
  registerSingleton(parts, TOKENS.timeline, resolver =>
    Timeline.create({
      process: settings.processName,
      clock: resolver.resolve<Clock>(TOKENS.clock),
      capacity: settings.timelineCapacity,
    }),
  );
  registerPlatform(parts, settings);
  registerNetwork(parts, settings);
  return parts;
}

function registerSingleton<Part>(
  parts: DependencyContainer,
  token: symbol,
  create: (parts: DependencyContainer) => Part,
): void {
  parts.register(token, {useFactory: instanceCachingFactory(create)});
}

/** Differs between any two runs of a process on the same host. */
function createIncarnation(): string {
  const random = randomInt(MAXIMUM_SEED).toString(36);
  return `${Date.now().toString(36)}-${random}`;
}

function createLogger(settings: EntrySettings): Logger {
  const {logLevel, logFormat, processName, region} = settings;
  const logger = ConsolaLogger.create({level: logLevel, format: logFormat});
  return logger.child({process: processName, region});
}

function createMetrics(settings: EntrySettings): Metrics {
  const {statsdAddress, statsdPort, processName, region} = settings;
  if (statsdAddress === undefined) return MemoryMetrics.create();
  return StatsdMetrics.create({
    address: statsdAddress,
    port: statsdPort,
    tags: {process: processName, region},
  });
}

function registerPlatform(
  parts: DependencyContainer,
  settings: EntrySettings,
): void {
  registerSingleton(parts, TOKENS.platformLog, resolver =>
    HttpPlatformLog.create({
      address: settings.logServiceUrl,
      clock: resolver.resolve<Clock>(TOKENS.clock),
    }),
  );
  registerSingleton(parts, TOKENS.hostList, resolver =>
    HttpHostList.create({
      address: settings.hostListUrl,
      clock: resolver.resolve<Clock>(TOKENS.clock),
    }),
  );
  registerSingleton(parts, TOKENS.workerConnector, resolver =>
    HttpWorkerConnector.create({clock: resolver.resolve<Clock>(TOKENS.clock)}),
  );
}

function registerNetwork(
  parts: DependencyContainer,
  settings: EntrySettings,
): void {
  registerSingleton(parts, TOKENS.peerMesh, resolver =>
    PeerMesh.create({
      self: {
        name: settings.processName,
        incarnation: resolver.resolve<string>(TOKENS.incarnation),
        region: settings.region,
        availabilityZone: settings.availabilityZone,
      },
      address: settings.peerAddress,
      port: settings.peerPort,
      clock: resolver.resolve<Clock>(TOKENS.clock),
      random: resolver.resolve<RandomSource>(TOKENS.random),
      logger: resolver.resolve<Logger>(TOKENS.logger),
      metrics: resolver.resolve<Metrics>(TOKENS.metrics),
      timeline: resolver.resolve<Timeline>(TOKENS.timeline),
    }),
  );
  registerSingleton(parts, TOKENS.network, resolver =>
    SelfCallingNetwork.create(
      resolver.resolve<PeerMesh>(TOKENS.peerMesh),
      resolver.resolve<string>(TOKENS.incarnation),
    ),
  );
}
