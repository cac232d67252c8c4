import {Name} from '@cardamomfield/types';
import {z} from 'zod';
import {IpAddress} from './ip_address.js';
import {IpUrl} from './ip_url.js';
import {PeerAddress} from './peer_address.js';
import {Port} from './port.js';
import type {SettingMetadata} from './setting_metadata.js';

const ONE_DAY_MILLISECONDS = 24 * 60 * 60 * 1_000;

/**
 * Monotonic clock rates of two hosts differ by at most 1 %, and both ends of a
 * wait may be off by that much.
 */
const CLOCK_RATE_ALLOWANCE = 0.02;

/** The peer silence period must tolerate one lost heartbeat. */
const MINIMUM_HEARTBEATS_PER_SILENCE = 2;

function metadata(description: string, allowed: string): SettingMetadata {
  return {description, allowed};
}

function name(description: string) {
  return Name.meta({
    ...metadata(description, 'a name of letters, digits, ".", "_" and "-"'),
  });
}

function address(description: string, fallback: string) {
  return IpAddress.default(fallback).meta({
    ...metadata(description, 'an IPv4 or IPv6 number'),
  });
}

function port(description: string, fallback: number) {
  return Port.default(fallback).meta({
    ...metadata(description, 'an integer from 0 to 65535; 0 chooses a port'),
  });
}

function url(description: string) {
  const allowed = 'an http or https URL by IP number, without credentials';
  return IpUrl.meta({...metadata(description, allowed)});
}

function integer(
  description: string,
  fallback: number,
  minimum: number,
  maximum: number,
) {
  return z
    .int()
    .min(minimum)
    .max(maximum)
    .default(fallback)
    .meta({
      ...metadata(description, `an integer from ${minimum} to ${maximum}`),
    });
}

/** Settings of the entry host daemon. */
export const EntrySettings = z
  .strictObject({
    processName: name(
      'Name of this process, stable across restarts of the host.',
    ),
    region: name('Region of this host.'),
    availabilityZone: name('Availability zone of this host.'),
    callerAddress: address('Address for callers and operators.', '127.0.0.1'),
    callerPort: port('Port for callers and operators.', 8_080),
    peerAddress: address('Address for other entry hosts.', '127.0.0.1'),
    peerPort: port('Port for other entry hosts.', 8_081),
    peers: z
      .array(PeerAddress)
      .default([])
      .meta({
        ...metadata(
          'The other entry hosts. This process may be in the list and is then skipped, so that all hosts can share one list.',
          'name=address:port with different names, separated by commas; IPv6 numbers in brackets',
        ),
      }),
    logServiceUrl: url("Base URL of the platform's log service."),
    hostListUrl: url("Base URL of the platform's host list."),
    statsdAddress: IpAddress.optional().meta({
      ...metadata(
        'Address of the StatsD agent; no metrics are sent without it.',
        'an IPv4 or IPv6 number',
      ),
    }),
    statsdPort: integer('Port of the StatsD agent.', 8_125, 1, 65_535),
    logLevel: z
      .enum(['error', 'warn', 'info', 'debug'])
      .default('info')
      .meta({
        ...metadata(
          'Log lines below this level are dropped.',
          'error, warn, info or debug',
        ),
      }),
    logFormat: z
      .enum(['json', 'text'])
      .default('json')
      .meta({...metadata('Form of the log lines.', 'json or text')}),
    authorityPeriodMilliseconds: integer(
      'Authority period T: how long one proof of ownership allows placing.',
      2_000,
      100,
      60_000,
    ),
    claimMarginMilliseconds: integer(
      'Added to T before a claim takes effect, for clock-rate drift; at least 2 % of T.',
      250,
      0,
      60_000,
    ),
    clockSkewAllowanceMilliseconds: integer(
      'Largest difference between the wall clocks of two hosts; less than T.',
      500,
      0,
      60_000,
    ),
    heartbeatPeriodMilliseconds: integer(
      'Period between two heartbeats to a peer.',
      500,
      10,
      60_000,
    ),
    peerSilenceMilliseconds: integer(
      'A connection without a message for this period is closed and replaced; at least two heartbeat periods.',
      2_000,
      20,
      600_000,
    ),
    voterRemovalSilenceMilliseconds: integer(
      'A voter without a heartbeat for this period is proposed for removal; longer than the peer silence.',
      60_000,
      1_000,
      ONE_DAY_MILLISECONDS,
    ),
    logCallMilliseconds: integer(
      'Longest wait for one answer of the log service.',
      2_000,
      100,
      60_000,
    ),
    journalAppendsPerSecond: integer(
      'Most appends to the request journal in one second.',
      20,
      1,
      200,
    ),
    journalExpiryMilliseconds: integer(
      'How long the outcome of a non-idempotent request is kept.',
      ONE_DAY_MILLISECONDS,
      60_000,
      30 * ONE_DAY_MILLISECONDS,
    ),
    leasePeriodMilliseconds: integer(
      "Period of a running task's lease from each renewal; longer than T plus margin, so that the deputy can renew.",
      15_000,
      1_000,
      600_000,
    ),
    hostListPeriodMilliseconds: integer(
      "Period between two reads of the platform's host list; a leaving worker must get no new work after 3 s.",
      500,
      100,
      2_000,
    ),
    retryBudgetPercent: integer(
      'Retries as a share of live traffic.',
      10,
      0,
      100,
    ),
    queueLimit: integer(
      'Longest queue of one owner where no rule sets another limit.',
      20_000,
      1,
      1_000_000,
    ),
    timelineCapacity: integer(
      'Events kept for the time line.',
      20_000,
      100,
      1_000_000,
    ),
    drainDeadlineMilliseconds: integer(
      'From the first signal to the deadline of a graceful shutdown.',
      60_000,
      0,
      ONE_DAY_MILLISECONDS,
    ),
  })
  .superRefine((settings, context) => {
    const checkSetting = (setting: keyof typeof settings, isValid: boolean) => {
      if (isValid) return;
      const message = 'conflicts with another setting';
      context.addIssue({code: 'custom', path: [setting], message});
    };
    const period = settings.authorityPeriodMilliseconds;
    checkSetting(
      'claimMarginMilliseconds',
      settings.claimMarginMilliseconds >= period * CLOCK_RATE_ALLOWANCE,
    );
    checkSetting(
      'clockSkewAllowanceMilliseconds',
      settings.clockSkewAllowanceMilliseconds < period,
    );
    checkSetting(
      'peerSilenceMilliseconds',
      settings.peerSilenceMilliseconds >=
        settings.heartbeatPeriodMilliseconds * MINIMUM_HEARTBEATS_PER_SILENCE,
    );
    checkSetting(
      'voterRemovalSilenceMilliseconds',
      settings.voterRemovalSilenceMilliseconds >
        settings.peerSilenceMilliseconds,
    );
    checkSetting(
      'leasePeriodMilliseconds',
      settings.leasePeriodMilliseconds >
        period + settings.claimMarginMilliseconds,
    );
    const names = settings.peers.map(peer => peer.name);
    checkSetting('peers', new Set(names).size === names.length);
  })
  .transform(settings => ({
    ...settings,
    peers: settings.peers.filter(peer => peer.name !== settings.processName),
  }));
export type EntrySettings = z.infer<typeof EntrySettings>;
