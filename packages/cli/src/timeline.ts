import {
  type TimelineEvent,
  type TimelineFilter,
  compareHybridTime,
  filterTimeline,
  formatTimelineEvent,
  mergeTimelines,
} from '@cardamomfield/timeline';
import type {Argv} from 'yargs';
import type {CommandRun} from './command_run.js';
import {createClient} from './create_client.js';
import {defineCommand} from './define_command.js';
import {entryOptions} from './entry_options.js';
import type {EntryClient} from './entry_client.js';
import {ExitCode} from './exit_code.js';
import {TimelineAnswer} from './timeline_answer.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** `cardamomfield timeline` */
export const timeline = defineCommand({
  command: 'timeline',
  describe: 'Show the events of every given entry host in causal order',
  example: [
    'timeline --request order-17 --entry http://127.0.0.1:8080 --entry http://127.0.0.1:8090',
    'Follow one request through two entry hosts',
  ],
  options: timelineOptions,
  execute: async (options, run) => {
    const client = createClient(options, run);
    const {clock, signal} = run.context;
    const lastEvents = new Map<string, TimelineEvent>();
    for (;;) {
      const {events, isComplete} = await readEvents(client, run);
      const newEvents = filterTimeline(
        takeNewEvents(events, lastEvents),
        options,
      );
      for (const event of newEvents) {
        run.context.writeLine(
          options.json ? JSON.stringify(event) : formatTimelineEvent(event),
        );
      }
      if (!options.follow) {
        return isComplete ? ExitCode.ok : ExitCode.unavailable;
      }
      const period = options.periodSeconds * MILLISECONDS_PER_SECOND;
      await clock.sleepUntil(clock.monotonicNow() + period, signal);
      if (signal.aborted) return ExitCode.ok;
    }
  },
});

/** Merges the events of all entry hosts and prints the failures of hosts. */
async function readEvents(client: EntryClient, {context}: CommandRun) {
  const answers = await client.getFromAllHosts('/v1/timeline', TimelineAnswer);
  for (const {url, answer} of answers) {
    answer.ifLeft(error => context.writeErrorLine(`${url}: ${error.message}`));
  }
  return {
    events: mergeTimelines(answers.map(({answer}) => answer.orDefault([]))),
    isComplete: answers.every(({answer}) => answer.isRight()),
  };
}

/**
 * Returns the events that are later than the last event of their process, and
 * updates these last events.
 */
function takeNewEvents(
  events: TimelineEvent[],
  lastEvents: Map<string, TimelineEvent>,
): TimelineEvent[] {
  const newEvents = events.filter(event => {
    const last = lastEvents.get(event.process);
    return !last || compareHybridTime(event.time, last.time) > 0;
  });
  for (const event of newEvents) lastEvents.set(event.process, event);
  return newEvents;
}

function timelineOptions(yargs: Argv) {
  const filterOption = (describe: string) =>
    ({type: 'string', requiresArg: true, describe}) as const;
  const descriptions: Record<keyof TimelineFilter, string> = {
    request: 'Key of a request',
    worker: 'Name of a worker',
    process: 'Name of an entry host',
    group: 'Name of a worker group (rack)',
    kind: 'Kind of event or its first words, for example task',
  };
  return entryOptions(yargs)
    .option('request', filterOption(descriptions.request))
    .option('worker', filterOption(descriptions.worker))
    .option('process', filterOption(descriptions.process))
    .option('group', filterOption(descriptions.group))
    .option('kind', filterOption(descriptions.kind))
    .option('follow', {
      type: 'boolean',
      default: false,
      describe: 'Print new events until interrupted',
    })
    .option('period-seconds', {
      type: 'number',
      default: 1,
      describe: 'Period between two reads with --follow',
    });
}
