import {isIP} from 'node:net';
import type {Worker} from '@cardamomfield/types';
import type {ConfigurationDelta} from './configuration_delta.js';
import type {ConfigurationItems} from './configuration_items.js';
import {endpointOf} from './endpoint_of.js';
import type {ItemTable} from './item_table.js';
import type {Refusal} from './refusal.js';

/**
 * Checks the items that the delta touched against the configuration that
 * results from it. Untouched items were checked when they were accepted.
 */
export function checkReferences(
  result: ConfigurationItems,
  delta: ConfigurationDelta,
): Refusal | undefined {
  const message =
    workerProblem(result, delta.put.workers) ??
    serviceProblem(result, delta.put.services) ??
    ruleProblem(result, delta.put.rules) ??
    removalProblem(result, delta.remove);
  if (message === undefined) return undefined;
  return {code: 'broken-reference', message};
}

function workerProblem(
  result: ConfigurationItems,
  put: readonly Worker[],
): string | undefined {
  for (const worker of put) {
    const {name, rack, services, address} = worker;
    if (!result.racks.has(rack)) {
      return `worker ${name} is in rack ${rack}, which does not exist`;
    }
    const missing = services.find(service => !result.services.has(service));
    if (missing !== undefined) {
      return `worker ${name} runs service ${missing}, which does not exist`;
    }
    const hostname = new URL(address).hostname.replace(/^\[|\]$/g, '');
    if (isIP(hostname) === 0) {
      return `worker ${name} has address ${address}, which is not an IP number`;
    }
    // A host that is listed as two workers would get twice the work that it
    // has capacity for.
    const first = result.endpoints.get(endpointOf(address));
    if (first !== name) {
      return `workers ${first} and ${name} have the same address ${address}`;
    }
  }
  return undefined;
}

function serviceProblem(
  result: ConfigurationItems,
  put: ConfigurationDelta['put']['services'],
): string | undefined {
  for (const {name, teams} of put) {
    const missing = teams.find(team => !result.teams.has(team));
    if (missing !== undefined) {
      return `service ${name} allows team ${missing}, which does not exist`;
    }
  }
  return undefined;
}

function ruleProblem(
  result: ConfigurationItems,
  put: ConfigurationDelta['put']['rules'],
): string | undefined {
  for (const {name, service, team} of put) {
    if (service !== undefined && !result.services.has(service)) {
      return `rule ${name} selects service ${service}, which does not exist`;
    }
    if (team !== undefined && !result.teams.has(team)) {
      return `rule ${name} selects team ${team}, which does not exist`;
    }
  }
  return undefined;
}

function removalProblem(
  result: ConfigurationItems,
  remove: ConfigurationDelta['remove'],
): string | undefined {
  const racks = new Set(remove.racks);
  const services = new Set(remove.services);
  const teams = new Set(remove.teams);
  if (racks.size + services.size + teams.size === 0) return undefined;
  for (const worker of sortedByName(result.workers)) {
    if (racks.has(worker.rack)) {
      return `rack ${worker.rack} still has worker ${worker.name}`;
    }
    const used = worker.services.find(service => services.has(service));
    if (used !== undefined) {
      return `service ${used} is still run by worker ${worker.name}`;
    }
  }
  for (const service of sortedByName(result.services)) {
    const used = service.teams.find(team => teams.has(team));
    if (used !== undefined) {
      return `team ${used} is still allowed by service ${service.name}`;
    }
  }
  for (const rule of sortedByName(result.rules)) {
    if (rule.service !== undefined && services.has(rule.service)) {
      return `service ${rule.service} is still selected by rule ${rule.name}`;
    }
    if (rule.team !== undefined && teams.has(rule.team)) {
      return `team ${rule.team} is still selected by rule ${rule.name}`;
    }
  }
  return undefined;
}

/** Sorts by name, so that the refusal is the same in every process. */
function sortedByName<Item extends {name: string}>(
  table: ItemTable<Item>,
): Item[] {
  return [...table.values()].sort((first, second) =>
    first.name < second.name ? -1 : 1,
  );
}
