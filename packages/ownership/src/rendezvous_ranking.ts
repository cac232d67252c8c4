import xxhash from 'xxhash-wasm';

type Hash = (input: string) => bigint;

/** Orders hosts for a key so that few keys move when a host comes or goes. */
export class RendezvousRanking {
  private constructor(private readonly hash: Hash) {}

  static async create(): Promise<RendezvousRanking> {
    const {h64} = await xxhash();
    return new RendezvousRanking(h64);
  }

  /** The hosts in the order in which they should own the key. */
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
