import {ByteBudget} from './byte_budget.js';
import type {LimitReporter} from './limit_reporter.js';

/**
 * Share of the memory for bodies that are being read. Callers wait about 3 s,
 * in which a link of 7 Mbit/s brings 2.6 MB; this share of 250 MB is 20 MB.
 * Buffers that are not collected yet take twice as much again.
 */
const BODY_MEMORY_SHARE = 0.08;

/** Descriptors for files, the store, the advice service and relay channels. */
const RESERVED_DESCRIPTORS = 200;

/** Defaults where the settings name no machine. */
const DEFAULT_MEMORY_BYTES = 350_000_000;
const DEFAULT_DESCRIPTORS = 4_100;

const DEFAULT_HEADER_BYTES = 16_384;
const DEFAULT_HEADER_MILLISECONDS = 3_000;
const DEFAULT_IDLE_MILLISECONDS = 15_000;

/**
 * A body without a new byte for this time is given up. Callers wait about 3 s
 * for their answer; a lost segment is sent again within 1 s or so.
 */
const DEFAULT_BODY_PROGRESS_MILLISECONDS = 5_000;

/** A body that has not ended after this time is given up. */
const DEFAULT_BODY_MILLISECONDS = 20_000;

/** Values that the operator can change at run time. */
interface OperatorValues {
  headerBytes?: number | undefined;
  headerMilliseconds?: number | undefined;
  idleMilliseconds?: number | undefined;
}

interface ClientLimitsOptions {
  /** The values in force; the defaults replace missing ones. */
  operatorValues?: () => OperatorValues | undefined;
  reporter?: LimitReporter;
  memoryBytes?: number;
  descriptors?: number;
}

/** Limits and counts that all servers of one process share. */
export class ClientLimits {
  readonly bodyProgressMilliseconds = DEFAULT_BODY_PROGRESS_MILLISECONDS;
  readonly bodyMilliseconds = DEFAULT_BODY_MILLISECONDS;
  /** Requests of all connections that wait for an earlier one of theirs. */
  waitingRequestCount = 0;
  /** Connections that all servers of the process have accepted. */
  acceptedConnectionCount = 0;
  /** Those of them that clients closed before the first request was served. */
  unusedConnectionCount = 0;
  readonly budget: ByteBudget;
  /** Descriptors that the connections of clients and servers may use. */
  readonly connections: number;
  readonly reporter: LimitReporter | undefined;

  private constructor(private readonly options: ClientLimitsOptions) {
    this.reporter = options.reporter;
    const memoryBytes = options.memoryBytes ?? DEFAULT_MEMORY_BYTES;
    this.budget = ByteBudget.create(memoryBytes * BODY_MEMORY_SHARE);
    this.connections = Math.max(
      RESERVED_DESCRIPTORS / 4,
      (options.descriptors ?? DEFAULT_DESCRIPTORS) - RESERVED_DESCRIPTORS,
    );
  }

  static create(options: ClientLimitsOptions = {}): ClientLimits {
    return new ClientLimits(options);
  }

  get headerBytes(): number {
    return this.operatorValues?.headerBytes ?? DEFAULT_HEADER_BYTES;
  }

  get headerMilliseconds(): number {
    return (
      this.operatorValues?.headerMilliseconds ?? DEFAULT_HEADER_MILLISECONDS
    );
  }

  get idleMilliseconds(): number {
    return this.operatorValues?.idleMilliseconds ?? DEFAULT_IDLE_MILLISECONDS;
  }

  private get operatorValues(): OperatorValues | undefined {
    return this.options.operatorValues?.();
  }
}
