import type {PlacementView} from './placement_view.js';

type Step = PlacementView['explanation']['steps'][number];

/** Formats an explanation of a placement for people. */
export function formatExplanation(view: PlacementView): string[] {
  const {hostName, epoch, ageMilliseconds, explanation} = view;
  const {id, state, queue, team, steps, omittedSteps} = explanation;
  const lines = [
    `${id === undefined ? 'request' : `submission ${id}`}: ${state}`,
    `owner: ${hostName}, epoch ${epoch}, state ${ageMilliseconds} ms old`,
  ];
  if (queue !== undefined) lines.push(`queue: ${queue}`);
  if (team) {
    const headroom = Object.entries(team.headroom)
      .map(([name, amount]) => `${amount} ${name}`)
      .join(', ');
    lines.push(`team: ${team.name}, headroom: ${headroom || 'no limit'}`);
  }
  for (const step of steps) lines.push(...formatStep(step));
  if (omittedSteps > 0) lines.push(`${omittedSteps} more steps`);
  return lines;
}

function formatStep(step: Step): string[] {
  const {waiting, placed, done, worker, rack, waitsFor} = step;
  const name = `step ${step.step} of occurrence ${step.occurrence}`;
  const lines = [`${name}: ${waiting} waiting, ${placed} placed, ${done} done`];
  if (waiting === 0) return lines;
  if (worker !== undefined) {
    const suffix = rack === undefined ? '' : ` in rack ${rack}`;
    lines.push(`  next task: worker ${worker}${suffix}`);
  }
  for (const {reason, until, detail} of waitsFor) {
    const suffixes = [
      ...(detail === undefined ? [] : [` (${detail})`]),
      ...(until === undefined ? [] : [` until ${formatTime(until)}`]),
    ];
    lines.push(`  waits for: ${reason}${suffixes.join('')}`);
  }
  lines.push(`  open workers: ${step.openWorkers}`);
  for (const {reason, count, workers} of step.excluded) {
    const more = count > workers.length ? ', ...' : '';
    lines.push(
      `  excluded, ${reason}: ${count} (${workers.join(', ')}${more})`,
    );
  }
  return lines;
}

/** A time of another host may lie outside the range of dates. */
function formatTime(unixMilliseconds: number): string {
  const date = new Date(unixMilliseconds);
  return Number.isNaN(date.getTime())
    ? `${unixMilliseconds} ms`
    : date.toISOString();
}
