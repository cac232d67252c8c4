import {InternalError} from '@cardamomfield/errors';
import type {HeartbeatSection} from '@cardamomfield/peer-protocol';

interface PublishedSection {
  read: () => unknown;
  /** The last value read, as JSON. */
  text: string;
  /** Grows by one whenever the text changes; 0 before the first value. */
  version: number;
}

/** Section versions that one connection has already sent. */
type SentVersions = Map<string, number>;

/** The heartbeat sections of this process and their latest values. */
export class SectionBoard {
  private readonly sections = new Map<string, PublishedSection>();

  private constructor() {}

  static create(): SectionBoard {
    return new SectionBoard();
  }

  /** Adds a section; a second one of the same name is an error. */
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

  /** Reads every provider once. */
  refresh(): void {
    for (const section of this.sections.values()) {
      const text = JSON.stringify(section.read());
      if (text === section.text) continue;
      section.text = text;
      section.version++;
    }
  }

  /** Values that the connection has not sent yet; marks them as sent. */
  takeChanged(sent: SentVersions): Record<string, unknown> {
    const changed: Record<string, unknown> = {};
    for (const [name, section] of this.sections) {
      if (sent.get(name) === section.version) continue;
      sent.set(name, section.version);
      changed[name] = JSON.parse(section.text);
    }
    return changed;
  }
}
