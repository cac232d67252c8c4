import type {AnnouncedOwner} from './announced_owner.js';

/** Tells all hosts of a cell of each claim. */
export class OwnerAnnouncements {
  private readonly listeners: Array<(owner: AnnouncedOwner) => void> = [];
  /** The owner with the highest epoch. */
  newest: AnnouncedOwner | undefined;

  private constructor() {}

  static create(): OwnerAnnouncements {
    return new OwnerAnnouncements();
  }

  follow(listener: (owner: AnnouncedOwner) => void): void {
    this.listeners.push(listener);
  }

  announce(owner: AnnouncedOwner): void {
    if (owner.epoch > (this.newest?.epoch ?? 0)) this.newest = owner;
    for (const listener of this.listeners) listener(owner);
  }
}
