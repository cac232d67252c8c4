import {type Team, digestKey} from '@cardamomfield/cell-model';

/** Names of teams by the digests of their keys. */
export class TeamKeyIndex {
  private constructor(private readonly teams: ReadonlyMap<string, string>) {}

  /** A key that several teams hold belongs to the first of them. */
  static create(teams: readonly Team[]): TeamKeyIndex {
    const names = new Map<string, string>();
    for (const {name, keys} of teams) {
      for (const key of keys) {
        const digest = digestKey(key);
        if (key !== '' && !names.has(digest)) names.set(digest, name);
      }
    }
    return new TeamKeyIndex(names);
  }

  /** Undefined for the digest of a key that no team holds. */
  teamOf(keyDigest: string): string | undefined {
    return this.teams.get(keyDigest);
  }
}
