import xxhash from 'xxhash-wasm';

type Hash = (input: string) => bigint;

/**
 * Ranks hosts for a key by rendezvous hashing, so that few keys move when a
 * host is added or removed.
 */
export class RendezvousRanking {
  private constructor(private readonly hash: Hash) {}

  static async create(): Promise<RendezvousRanking> {
    const {h64} = await xxhash();
    return new RendezvousRanking(h64);
  }

  /** The hosts in order of preference as owner of the key. */
  rank(key: string, hosts: readonly string[]): string[] {
    const weighted = hosts.map(host => ({
      host,
      weight: this.hash(`${key}\n${host}`),
    }));
    weighted.sort((first, second) => {
      if (first.weight !== second.weight) {
        return first.weight > second.weight ? -1 : 1;
      }
      return first.host < second.host ? -1 : 1;
    });
    return weighted.map(entry => entry.host);
  }
}
