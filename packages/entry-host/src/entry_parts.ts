import {
  Configuration,
  ConfigurationFold,
  resolveRule,
} from '@cardamomfield/configuration';
import {GroupOwner} from '@cardamomfield/group-owner';
import {LogFollower, type StreamFold} from '@cardamomfield/log-follower';
import {OwnershipFold, OwnershipManager} from '@cardamomfield/ownership';
import {OwnerScheduler} from '@cardamomfield/placement';
import type {PlatformLog} from '@cardamomfield/platform';
import {
  type IntentJournal,
  KeyPartitions,
  KeyRegistrar,
  KeyRegistrarClient,
  OwnerChooser,
  RequestCoordinator,
  TaskFinder,
} from '@cardamomfield/requests';
import {RequestJournal} from '@cardamomfield/request-journal';
import {RetryBudget} from '@cardamomfield/retries';
import type {EntrySettings} from '@cardamomfield/settings';
import {WorkerHealth} from '@cardamomfield/worker-health';
import type {DependencyContainer} from 'tsyringe';
import {BaseParts} from './base_parts.js';
import {ConfigurationChecker} from './configuration_checker.js';
import {IntentJournalAdapter} from './intent_journal_adapter.js';
import {listOrphans} from './list_orphans.js';
import {TOKENS} from './tokens.js';

const PERCENT = 100;

/** Number of authority extensions in each authority period. */
const EXTENSIONS_PER_PERIOD = 4;

/** A component that runs until its signal aborts. */
interface Runnable {
  run(signal: AbortSignal): Promise<void>;
}

/** Creates and connects the components of one entry host. */
export class EntryParts {
  readonly base: BaseParts;
  readonly settings: EntrySettings;
  readonly streams: Runnable[] = [];
  readonly configuration: Configuration;
  readonly owner: GroupOwner;
  readonly registrar: KeyRegistrar;
  readonly requests: RequestCoordinator;

  private constructor(
    private readonly container: DependencyContainer,
    readonly ownership: OwnershipManager,
    base: BaseParts,
    settings: EntrySettings,
    ownershipStream: Runnable,
  ) {
    this.base = base;
    this.settings = settings;
    this.streams.push(ownershipStream);
    this.configuration = this.createConfiguration();
    this.owner = this.createOwner();
    this.registrar = KeyRegistrar.create({
      ...base,
      ownership,
      groups: () => this.racks(),
    });
    this.requests = this.createRequests();
  }

  static async create(container: DependencyContainer): Promise<EntryParts> {
    const settings = container.resolve<EntrySettings>(TOKENS.settings);
    const base = BaseParts.create(container);
    const fold = OwnershipFold.create();
    const stream = createFollower(container, 'ownership', fold);
    const ownership = await OwnershipManager.create({
      ...base,
      process: settings.processName,
      stream,
      settings: {
        authorityPeriodMilliseconds: settings.authorityPeriodMilliseconds,
        claimMarginMilliseconds: settings.claimMarginMilliseconds,
        extensionIntervalMilliseconds:
          settings.authorityPeriodMilliseconds / EXTENSIONS_PER_PERIOD,
        voterRemovalMilliseconds: settings.voterRemovalSilenceMilliseconds,
      },
    });
    return new EntryParts(container, ownership, base, settings, stream);
  }

  /** Names of all racks in the active configuration. */
  racks(): string[] {
    return Object.keys(this.configuration.current()?.state.racks ?? {});
  }

  /** Runs all components until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    this.connectListeners();
    const {streams, configuration, ownership, owner, requests} = this;
    const runnables = [...streams, configuration, ownership, owner, requests];
    await Promise.all(runnables.map(part => part.run(signal)));
  }

  /** Forwards configuration and ownership changes to the components. */
  private connectListeners(): void {
    const {configuration, ownership, owner, registrar} = this;
    configuration.onChange(() => this.applyConfiguration());
    this.applyConfiguration();
    ownership.addListener({
      gained: (group, epoch) => {
        if (KeyPartitions.isPartition(group)) registrar.gain(group, epoch);
        else owner.addGroup(group, epoch);
      },
      lost: group => {
        if (KeyPartitions.isPartition(group)) registrar.lose(group);
        else owner.removeGroup(group);
      },
    });
  }

  private applyConfiguration(): void {
    const current = this.configuration.current();
    if (!current) return;
    const {version, state} = current;
    this.base.timeline.record('configuration.applied', {version});
    this.owner.setConfiguration(state);
    this.ownership.setGroups([...this.racks(), ...KeyPartitions.names()]);
  }

  private createConfiguration(): Configuration {
    const fold = ConfigurationFold.create();
    const stream = createFollower(this.container, 'configuration', fold);
    this.streams.push(stream);
    return Configuration.create({
      ...this.base,
      stream,
      logCallMilliseconds: this.settings.logCallMilliseconds,
    });
  }

  private createOwner(): GroupOwner {
    const {base, settings, ownership} = this;
    return GroupOwner.create({
      ...base,
      ownership,
      scheduler: OwnerScheduler.create({
        ...base,
        settings: {classQueueLimit: settings.queueLimit},
      }),
      health: WorkerHealth.create({
        ...base,
        onPhaseChange: (worker, {kind}) =>
          base.timeline.record('worker.health', {worker, phase: kind}),
      }),
      connector: this.container.resolve(TOKENS.workerConnector),
      hosts: this.container.resolve(TOKENS.hostList),
      settings: {
        leaseMilliseconds: settings.leasePeriodMilliseconds,
        renewalMilliseconds: Math.floor(settings.leasePeriodMilliseconds / 3),
        clockSkewMilliseconds: settings.clockSkewAllowanceMilliseconds,
        hostListMilliseconds: settings.hostListPeriodMilliseconds,
      },
      ruleFor: order => {
        const state = this.configuration.current()?.state;
        return state && resolveRule(state, order);
      },
    });
  }

  private createJournal(): IntentJournal {
    const {base, settings, container} = this;
    const journal = RequestJournal.create({
      ...base,
      log: container.resolve<PlatformLog>(TOKENS.platformLog),
      writer: `${settings.processName}.${base.incarnation}`,
      settings: {
        appendsPerSecond: settings.journalAppendsPerSecond,
        expiryMilliseconds: settings.journalExpiryMilliseconds,
        clockSkewMilliseconds: settings.clockSkewAllowanceMilliseconds,
      },
    });
    this.streams.push(journal);
    return IntentJournalAdapter.create(journal, base.clock, base.incarnation);
  }

  private createRequests(): RequestCoordinator {
    const {base, settings, ownership, owner} = this;
    const groups = () => this.racks();
    return RequestCoordinator.create({
      ...base,
      self: settings.processName,
      journal: this.createJournal(),
      registrar: KeyRegistrarClient.create({...base, ownership}),
      chooser: OwnerChooser.create({
        ...base,
        localSummary: () => owner.summary(),
      }),
      finder: TaskFinder.create({...base, groups}),
      checker: ConfigurationChecker.create(this.configuration),
      retries: RetryBudget.create({
        ...base,
        ratio: settings.retryBudgetPercent / PERCENT,
      }),
      listOrphans: partition => listOrphans(owner, partition, base.clock),
    });
  }
}

function createFollower<State>(
  container: DependencyContainer,
  stream: string,
  fold: StreamFold<State>,
): LogFollower<State> {
  const base = BaseParts.create(container);
  const settings = container.resolve<EntrySettings>(TOKENS.settings);
  return LogFollower.create({
    ...base,
    log: container.resolve<PlatformLog>(TOKENS.platformLog),
    stream,
    fold,
    writer: `${settings.processName}.${base.incarnation}`,
  });
}
