import type {HeartbeatSection} from '@cardamomfield/peer-protocol';

interface Received {
  value: unknown;
  receivedAt: number;
}

/**
 * Heartbeat sections received from one incarnation of a peer. A heartbeat that
 * omits a section confirms its previous value.
 */
export class ReceivedSections {
  private readonly values = new Map<string, Received>();

  private constructor() {}

  static create(): ReceivedSections {
    return new ReceivedSections();
  }

  applyHeartbeat(
    sections: Readonly<Record<string, unknown>>,
    now: number,
  ): void {
    for (const received of this.values.values()) received.receivedAt = now;
    for (const [name, value] of Object.entries(sections)) {
      this.values.set(name, {value, receivedAt: now});
    }
  }

  /** Last value of a section; undefined if it does not match the schema. */
  latest<Value>(
    section: HeartbeatSection<Value>,
  ): {value: Value; receivedAt: number} | undefined {
    const received = this.values.get(section.name);
    if (!received) return undefined;
    const value = section.schema.safeParse(received.value);
    if (!value.success) return undefined;
    return {value: value.data, receivedAt: received.receivedAt};
  }
}
