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
 * Registers the default parts of one entry host. Whoever embeds the library
 * may register others under the same tokens before the first use.
 */
export function createContainer(settings: EntrySettings): DependencyContainer {
  const parts = container.createChildContainer();
  parts.register(TOKENS.settings, {useValue: settings});
  parts.register(TOKENS.incarnation, {useValue: createIncarnation()});
  registerOnce(parts, TOKENS.clock, () => SystemClock.create());
  registerOnce(parts, TOKENS.random, () =>
    SeededRandomSource.create(randomInt(MAXIMUM_SEED)),
  );
  registerOnce(parts, TOKENS.logger, () => createLogger(settings));
  registerOnce(parts, TOKENS.metrics, () => createMetrics(settings));
  registerOnce(parts, TOKENS.timeline, all =>
    Timeline.create({
      process: settings.processName,
      clock: all.resolve<Clock>(TOKENS.clock),
      capacity: settings.timelineCapacity,
    }),
  );
  registerPlatform(parts, settings);
  registerNetwork(parts, settings);
  return parts;
}

function registerOnce<Part>(
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
  registerOnce(parts, TOKENS.platformLog, all =>
    HttpPlatformLog.create({
      address: settings.logServiceUrl,
      clock: all.resolve<Clock>(TOKENS.clock),
    }),
  );
  registerOnce(parts, TOKENS.hostList, all =>
    HttpHostList.create({
      address: settings.hostListUrl,
      clock: all.resolve<Clock>(TOKENS.clock),
    }),
  );
  registerOnce(parts, TOKENS.workerConnector, all =>
    HttpWorkerConnector.create({clock: all.resolve<Clock>(TOKENS.clock)}),
  );
}

function registerNetwork(
  parts: DependencyContainer,
  settings: EntrySettings,
): void {
  registerOnce(parts, TOKENS.peerMesh, all =>
    PeerMesh.create({
      self: {
        name: settings.processName,
        incarnation: all.resolve<string>(TOKENS.incarnation),
        region: settings.region,
        availabilityZone: settings.availabilityZone,
      },
      address: settings.peerAddress,
      port: settings.peerPort,
      clock: all.resolve<Clock>(TOKENS.clock),
      random: all.resolve<RandomSource>(TOKENS.random),
      logger: all.resolve<Logger>(TOKENS.logger),
      metrics: all.resolve<Metrics>(TOKENS.metrics),
      timeline: all.resolve<Timeline>(TOKENS.timeline),
    }),
  );
  registerOnce(parts, TOKENS.network, all =>
    SelfCallingNetwork.create(
      all.resolve<PeerMesh>(TOKENS.peerMesh),
      all.resolve<string>(TOKENS.incarnation),
    ),
  );
}
