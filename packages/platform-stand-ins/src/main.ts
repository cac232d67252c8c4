import {SystemClock} from '@cardamomfield/clock';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {HostListServer} from './host_list_server.js';
import {HostListService} from './host_list_service.js';
import {LogServer} from './log_server.js';
import {LogService} from './log_service.js';
import {WorkerServer} from './worker_server.js';
import {WorkerService} from './worker_service.js';

const options = await yargs(hideBin(process.argv))
  .scriptName('platform-stand-in')
  .options({
    kind: {
      choices: ['log', 'host-list', 'worker'] as const,
      demandOption: true,
      describe: 'What to stand in for',
    },
    name: {type: 'string', default: 'worker', describe: 'Name of the worker'},
    address: {type: 'string', default: '127.0.0.1'},
    port: {type: 'number', default: 0, describe: '0 lets the system choose'},
    retentionMilliseconds: {type: 'number', describe: 'Of log records'},
    retentionRecords: {type: 'number', describe: 'Of each stream'},
    appendsPerSecond: {type: 'number', describe: 'Of the log'},
    lagMilliseconds: {type: 'number', describe: 'Of the host list'},
  })
  .strict()
  .parse();

const server = await startServer();
const {kind, address} = options;
process.stdout.write(
  `${JSON.stringify({kind, address, port: server.port()})}\n`,
);
process.once('SIGTERM', stop);
process.once('SIGINT', stop);

function startServer(): Promise<LogServer | HostListServer | WorkerServer> {
  const clock = SystemClock.create();
  const {address, port, name} = options;
  if (options.kind === 'log') {
    const service = LogService.create({clock, ...logLimits()});
    return LogServer.create({service, clock, address, port});
  }
  if (options.kind === 'host-list') {
    const {lagMilliseconds = 0} = options;
    const service = HostListService.create({clock, lagMilliseconds});
    return HostListServer.create({service, address, port});
  }
  const service = WorkerService.create({name, clock});
  return WorkerServer.create({service, clock, address, port});
}

function logLimits(): Partial<Parameters<typeof LogService.create>[0]> {
  const {retentionMilliseconds, retentionRecords, appendsPerSecond} = options;
  return {
    ...(retentionMilliseconds !== undefined && {retentionMilliseconds}),
    ...(retentionRecords !== undefined && {retentionRecords}),
    ...(appendsPerSecond !== undefined && {appendsPerSecond}),
  };
}

function stop(): void {
  // Running tasks and delayed calls would keep the process alive.
  void server.close().then(() => process.exit(0));
}
