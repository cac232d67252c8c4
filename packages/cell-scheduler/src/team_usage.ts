import type {ResourceAmounts} from './resource_amounts.js';
import {RESOURCE_NAMES} from './resource_names.js';
import type {Run} from './run.js';
import type {TeamHold} from './team_hold.js';

interface Row extends ResourceAmounts {
  count: number;
}

const NOTHING: Readonly<ResourceAmounts> = Object.freeze(createRow());

/**
 * What the runs of each team hold, from their placement or restoration until
 * their release: also runs whose start has no answer yet, and those on workers
 * that do not answer, for they may be running.
 */
export class TeamUsage {
  private readonly counted = new Map<object, TeamHold>();
  private readonly totals = new Map<string, Row>();
  /** By service, team and priority. */
  private readonly rows = new Map<string, Map<string, Map<number, Row>>>();

  private constructor() {}

  static create(): TeamUsage {
    return new TeamUsage();
  }

  /** Counts a run; one that is counted already has no effect. */
  add(run: Run): void {
    const {submission, specification} = run.step;
    this.hold(run, {
      team: submission.team,
      service: submission.queue.service,
      priority: submission.queue.priority,
      // A run in spare capacity holds no cores of its worker but counts here.
      milliCores: specification.milliCores,
      memoryMegabytes: specification.memoryMegabytes,
      accelerators: specification.accelerators,
    });
  }

  /**
   * Counts what may be running until `remove` is called with the key. Returns
   * false if something is counted under the key already.
   */
  hold(key: object, hold: TeamHold): boolean {
    if (this.counted.has(key)) return false;
    this.counted.set(key, hold);
    this.change(hold, 1);
    return true;
  }

  /** Stops counting a run, or what is held under a key. */
  remove(key: object): void {
    const hold = this.counted.get(key);
    if (!hold) return;
    this.counted.delete(key);
    this.change(hold, -1);
  }

  /** What a team uses on all workers. */
  usedBy(team: string): Readonly<ResourceAmounts> {
    return this.totals.get(team) ?? NOTHING;
  }

  /** What a team uses in a service at the given priority or more urgently. */
  usedUpTo(
    service: string,
    team: string,
    priority: number,
  ): Readonly<ResourceAmounts> {
    const rows = this.rows.get(service)?.get(team);
    if (!rows) return NOTHING;
    const sum = createRow();
    for (const [rowPriority, row] of rows) {
      if (rowPriority <= priority) addTo(sum, row, 1);
    }
    return sum;
  }

  /** The teams with runs in a service. */
  teamsIn(service: string): Iterable<string> {
    return this.rows.get(service)?.keys() ?? [];
  }

  /** Rows without runs are dropped, so that the maps stay small. */
  private change(hold: TeamHold, sign: 1 | -1): void {
    const {service, team, priority} = hold;
    const teams = getOrCreate(this.rows, service, () => new Map());
    const rows = getOrCreate(teams, team, () => new Map<number, Row>());
    const row = getOrCreate(rows, priority, createRow);
    const total = getOrCreate(this.totals, team, createRow);
    addTo(row, hold, sign);
    addTo(total, hold, sign);
    row.count += sign;
    total.count += sign;
    if (row.count === 0) rows.delete(priority);
    if (rows.size === 0) teams.delete(team);
    if (teams.size === 0) this.rows.delete(service);
    if (total.count === 0) this.totals.delete(team);
  }
}

function createRow(): Row {
  return {milliCores: 0, memoryMegabytes: 0, accelerators: 0, count: 0};
}

function addTo(
  sum: ResourceAmounts,
  amounts: ResourceAmounts,
  sign: 1 | -1,
): void {
  for (const name of RESOURCE_NAMES) sum[name] += sign * amounts[name];
}

function getOrCreate<Key, Value>(
  map: Map<Key, Value>,
  key: Key,
  create: () => Value,
): Value {
  const present = map.get(key);
  if (present !== undefined) return present;
  const created = create();
  map.set(key, created);
  return created;
}
