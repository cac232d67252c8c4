import {
  type ConfigurationDelta,
  ITEM_KINDS,
  PublishOutcome,
} from '@cardamomfield/configuration';
import type {CommandRun} from './command_run.js';
import type {EntryClient} from './entry_client.js';
import {ExitCode} from './exit_code.js';
import {reportError} from './report_error.js';

interface PublishRequest {
  client: EntryClient;
  base: number;
  editor: string;
  change: ConfigurationDelta;
  json: boolean;
}

/** Publishes a change and prints its outcome: accepted, refused or unknown. */
export async function publishChange(
  run: CommandRun,
  {client, base, editor, change, json}: PublishRequest,
): Promise<ExitCode> {
  if (isEmpty(change)) {
    return printOutcome(
      run,
      json,
      {outcome: 'accepted', version: base},
      'no change',
    );
  }
  const publication = run.context.createKey();
  const answer = await client.call({
    method: 'POST',
    path: '/v1/configuration/changes',
    schema: PublishOutcome,
    body: {base, editor, publication, change},
    isRepeatable: false,
  });
  return answer.caseOf<ExitCode>({
    Left: error => {
      if (error.code === 'uncertain') {
        const hint = `publish again on base ${base}: a change that was accepted is then refused and named as the winner`;
        run.context.writeErrorLine(hint);
      }
      const code = reportError(run, error, json);
      // The details of a refusal carry the code that the fold or the publisher
      // gave. `unavailable` means that nothing was appended to the log.
      const isUnavailable = error.details['code'] === 'unavailable';
      return isUnavailable ? ExitCode.unavailable : code;
    },
    Right: outcome => printOutcome(run, json, outcome, formatOutcome(outcome)),
  });
}

function isEmpty(change: ConfigurationDelta): boolean {
  return ITEM_KINDS.every(
    kind => change.put[kind].length + change.remove[kind].length === 0,
  );
}

function formatOutcome(outcome: PublishOutcome): string {
  switch (outcome.outcome) {
    case 'accepted':
      return `accepted at version ${outcome.version}`;
    case 'refused':
      return `refused (${outcome.reason.code}): ${outcome.reason.message}`;
    case 'unknown':
      return `unknown: ${outcome.message}; ${outcome.findOut}`;
  }
}

function printOutcome(
  {context}: CommandRun,
  json: boolean,
  outcome: PublishOutcome,
  text: string,
): ExitCode {
  context.writeLine(json ? JSON.stringify(outcome) : text);
  if (outcome.outcome === 'accepted') return ExitCode.ok;
  if (outcome.outcome === 'unknown') return ExitCode.unknown;
  const isUnavailable = outcome.reason.code === 'unavailable';
  return isUnavailable ? ExitCode.unavailable : ExitCode.refused;
}
