/**
 * A team may hold this multiple of what is free: up to 80 % of the memory while
 * no other team holds any, and less the more the others hold.
 */
const FREE_MEMORY_FACTOR = 4;

interface MemoryUse {
  /** Empty for a submission of no team. */
  team: string;
  bytes: number;
}

/** Estimated heap that the submissions of one owner take. */
export class SubmissionMemory {
  private usedBytes = 0;
  private readonly usedByTeam = new Map<string, number>();

  private constructor() {}

  static create(): SubmissionMemory {
    return new SubmissionMemory();
  }

  add({team, bytes}: MemoryUse): void {
    this.usedBytes += bytes;
    this.usedByTeam.set(team, (this.usedByTeam.get(team) ?? 0) + bytes);
  }

  remove({team, bytes}: MemoryUse): void {
    this.usedBytes -= bytes;
    const left = (this.usedByTeam.get(team) ?? 0) - bytes;
    if (left > 0) this.usedByTeam.set(team, left);
    else this.usedByTeam.delete(team);
  }

  /**
   * Whether a submission fits into the limit for all. Where teams share it, each
   * leaves memory for the others; work without a team counts as one team.
   */
  hasRoom(
    {team, bytes}: MemoryUse,
    limitBytes: number,
    isShared: boolean,
  ): boolean {
    const freeBytes = limitBytes - this.usedBytes;
    if (bytes > freeBytes) return false;
    const teamBytes = (this.usedByTeam.get(team) ?? 0) + bytes;
    // A single large submission may take what no team uses.
    if (!isShared || teamBytes === bytes) return true;
    return teamBytes <= freeBytes * FREE_MEMORY_FACTOR;
  }
}
