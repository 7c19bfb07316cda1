/** @file The command line: runs a controller, checks settings, and sends requests to controllers. */
import { Command, InvalidArgumentError } from 'commander';
import { readSettings, readText } from '../base/settings-files';
import { SettingsError } from '../base/settings-schema';
import type { PeersReport } from '../suspicion/peers-report';
import { ExitCode, processOutput, type CommandOutput } from './output';
import { peersTable } from './peers-table';
import { sendRequest } from './requests';
import { serve } from './serve';
import { summarizeSettings } from './settings-summary';

function parseAddress(value: string): string {
  if (!/^[^:\s]+:[0-9]{1,5}$/.test(value)) throw new InvalidArgumentError('must be HOST:PORT');
  return value;
}

/** Reads JSON from a file, or from standard input if the file is `-`. */
function readJson(file: string): unknown {
  const text = readText(file, file === '-' ? 0 : file);
  try {
    return JSON.parse(text);
  } catch (error) {
    throw new SettingsError(`${file}: not JSON`, { cause: error });
  }
}

function addCheckConfigCommand(program: Command, output: CommandOutput): void {
  program
    .command('check-config')
    .description('read the settings, say what follows from them, and end')
    .argument('<file>', "the platform's settings file")
    .option('--options <file>', "the operators' own settings (TOML)")
    .action((file: string, { options }: { options?: string }) => {
      output.print(summarizeSettings(readSettings(file, options)));
    });
}

/** Adds the commands that submit, query and cancel a job. */
function addJobCommands(program: Command, output: CommandOutput): void {
  program
    .command('submit')
    .description('submit a job, described in JSON as the protocol has it')
    .argument('<node>', 'HOST:PORT of a controller', parseAddress)
    .argument('<file>', 'the description, or - for standard input')
    .action(async (address: string, file: string) =>
      sendRequest(output, address, { method: 'POST', path: '/work', body: readJson(file) }),
    );
  program
    .command('status')
    .description('tell how far a job is')
    .argument('<node>', 'HOST:PORT of a controller', parseAddress)
    .argument('<job>', 'job id')
    .action(async (address: string, job: string) =>
      sendRequest(output, address, { method: 'GET', path: `/work/${encodeURIComponent(job)}` }),
    );
  program
    .command('cancel')
    .alias('withdraw')
    .description('cancel a job')
    .argument('<node>', 'HOST:PORT of a controller', parseAddress)
    .argument('<job>', 'job id')
    .action(async (address: string, job: string) =>
      sendRequest(output, address, { method: 'POST', path: `/work/${encodeURIComponent(job)}/withdraw` }),
    );
}

function addPeersCommand(program: Command, output: CommandOutput): void {
  program
    .command('peers')
    .description('print what each controller holds of the others (with suspicion on)')
    .argument('<node>', 'HOST:PORT of a controller', parseAddress)
    .option('--json', 'one line of JSON instead of a table')
    .action(async (address: string, { json = false }: { json?: boolean }) => {
      const print = (body: unknown): string =>
        json ? JSON.stringify(body) : peersTable(body as PeersReport);
      await sendRequest(output, address, { method: 'GET', path: '/peers', print });
    });
}

/** Creates the command line; `code` is logged and says whether the build's code cache was used. */
export function createProgram(code = 'none', output: CommandOutput = processOutput): Command {
  const program = new Command('ironstream')
    .description('A cluster scheduler. With --config it runs a controller.')
    .option('--config <file>', "the platform's settings file (TOML)")
    .option('--options <file>', "the operators' own settings (TOML)")
    .action(async ({ config, options }: { config?: string; options?: string }) => {
      if (config === undefined) throw new SettingsError('--config FILE is needed; see --help');
      await serve(readSettings(config, options), code);
    });
  addCheckConfigCommand(program, output);
  addJobCommands(program, output);
  addPeersCommand(program, output);
  return program;
}

/** Runs the command line; called by `src/main.ts`. */
export async function main(argv: readonly string[], code: string): Promise<void> {
  try {
    await createProgram(code).parseAsync(argv);
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error;
    processOutput.fail(error.message, ExitCode.BadInput);
  }
}
