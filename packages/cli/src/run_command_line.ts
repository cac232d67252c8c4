import yargs from 'yargs';
import type {CommandContext} from './command_context.js';
import type {CommandRun} from './command_run.js';
import {defineGroup} from './define_group.js';
import {drainWorker} from './drain_worker.js';
import {entry} from './entry.js';
import {ExitCode} from './exit_code.js';
import {explain} from './explain.js';
import {inventoryCheck} from './inventory_check.js';
import {inventoryDiff} from './inventory_diff.js';
import {inventoryPublish} from './inventory_publish.js';
import {inventoryShow} from './inventory_show.js';
import {requestCancel} from './request_cancel.js';
import {requestShow} from './request_show.js';
import {requestWatch} from './request_watch.js';
import {rulesCheck} from './rules_check.js';
import {rulesPublish} from './rules_publish.js';
import {rulesShow} from './rules_show.js';
import {status} from './status.js';
import {submit} from './submit.js';
import {timeline} from './timeline.js';
import {votersReset} from './voters_reset.js';
import {votersShow} from './voters_show.js';

const EPILOGUE = `Exit codes: 0 done, 1 refused or not run, 2 wrong usage, 3 outcome unknown, 4 no entry host available`;

/** Runs the command with the given arguments and returns its exit code. */
export async function runCommandLine(
  argumentList: readonly string[],
  context: CommandContext,
): Promise<ExitCode> {
  const run: CommandRun = {context, exitCode: ExitCode.ok};
  const parser = createParser(argumentList, run);
  let failed = false;
  await parser.parseAsync([...argumentList], {}, (error, _options, output) => {
    failed = error != null;
    if (output === '') return;
    if (failed) context.writeErrorLine(output);
    else context.writeLine(output);
  });
  return failed ? ExitCode.usage : run.exitCode;
}

function createParser(argumentList: readonly string[], run: CommandRun) {
  const commands = [
    entry(argumentList),
    defineGroup('inventory', 'Check, publish and show the inventory', [
      inventoryCheck,
      inventoryPublish,
      inventoryShow,
      inventoryDiff,
    ]),
    defineGroup('rules', 'Check, publish and show the rules', [
      rulesCheck,
      rulesPublish,
      rulesShow,
    ]),
    submit,
    defineGroup('request', 'Show, cancel and watch a request', [
      requestShow,
      requestCancel,
      requestWatch,
    ]),
    status,
    timeline,
    explain,
    defineGroup('drain', 'Empty a worker', [drainWorker]),
    defineGroup('voters', 'Show and reset the voters', [
      votersShow,
      votersReset,
    ]),
  ];
  const parser = yargs()
    .scriptName('cardamomfield')
    .usage('$0 <command>')
    .completion('completion', 'Print a completion script for the shell')
    .demandCommand(1, 'Name a command.')
    .recommendCommands()
    // Each use of a repeatable option takes one value, so that positional
    // arguments may follow it.
    .parserConfiguration({'greedy-arrays': false})
    .strict()
    .exitProcess(false)
    .wrap(null)
    .epilogue(EPILOGUE);
  return commands.reduce(
    (result, create) => result.command(create(run)),
    parser,
  );
}
