import type {DesiredState, Team} from '@cardamomfield/cell-model';

type TeamSource = () => Pick<DesiredState, 'teams'> | undefined;

/** The teams of the newest desired state, by name. */
export class TeamDirectory {
  private teams: readonly Team[] | undefined;
  private byName = new Map<string, Team>();

  private constructor(private readonly source: TeamSource) {}

  static create(source: TeamSource = () => ({})): TeamDirectory {
    return new TeamDirectory(source);
  }

  /** False before the first desired state. */
  get isKnown(): boolean {
    return this.source() !== undefined;
  }

  /** Whether the desired state names teams; otherwise there are no shares. */
  get isInForce(): boolean {
    return this.source()?.teams !== undefined;
  }

  find(name: string): Team | undefined {
    const teams = this.source()?.teams;
    if (teams !== this.teams) {
      this.teams = teams;
      this.byName = new Map(teams?.map(team => [team.name, team]));
    }
    return this.byName.get(name);
  }

  /** 1 for a team that the desired state does not name or gives no weight. */
  weightOf(name: string): number {
    const weight = this.find(name)?.weight ?? 0;
    return weight > 0 ? weight : 1;
  }
}
