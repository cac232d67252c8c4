import {InternalError} from '@cardamomfield/errors';
import type {HeartbeatSection} from '@cardamomfield/peer-protocol';

interface PublishedSection {
  read: () => unknown;
  /** The last value read, as JSON. */
  text: string;
  /** Incremented when the text changes; 0 before the first value. */
  version: number;
}

/** Last version sent on one connection, by section name. */
type SentVersions = Map<string, number>;

/** Heartbeat sections of this process and their latest values. */
export class PublishedSections {
  private readonly sections = new Map<string, PublishedSection>();

  private constructor() {}

  static create(): PublishedSections {
    return new PublishedSections();
  }

  /** Adds a section. Throws if one of the same name is already published. */
  publish<Value>(
    section: HeartbeatSection<Value>,
    provider: () => Value,
  ): void {
    if (this.sections.has(section.name)) {
      throw InternalError.create(
        `section "${section.name}" is already published`,
        {section: section.name},
      );
    }
    const read = () => section.schema.parse(provider());
    this.sections.set(section.name, {read, text: '', version: 0});
  }

  /** Reads the current value of every section from its provider. */
  refresh(): void {
    for (const section of this.sections.values()) {
      const text = JSON.stringify(section.read());
      if (text === section.text) continue;
      section.text = text;
      section.version++;
    }
  }

  /** Values that the connection has not sent yet; marks them as sent. */
  takeUnsent(sent: SentVersions): Record<string, unknown> {
    const unsent: Record<string, unknown> = {};
    for (const [name, section] of this.sections) {
      if (sent.get(name) === section.version) continue;
      sent.set(name, section.version);
      unsent[name] = JSON.parse(section.text);
    }
    return unsent;
  }
}
