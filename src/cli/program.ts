import { readFileSync } from 'node:fs';
import { Command, InvalidArgumentError } from 'commander';
import { readAdmissionOptions } from '../admission/options';
import { readSettings, SettingsError } from '../base/settings';
import { codec } from '../protocol/codec';
import { HttpClient, NoResponseError } from '../transport/http-client';
import { describeSuspicion } from '../suspicion/options';
import type { PeersReport } from '../suspicion/peers-report';
import { peersTable } from './peers-table';
import { serve } from './serve';

/** Exit codes: 1 a bad setting or argument, 2 the node said no, 3 no answer. */
const BAD_INPUT = 1;
const REFUSED = 2;
const NO_ANSWER = 3;
const ASK_TIMEOUT_MS = 5_000;
const MAX_ANSWER_BYTES = 64 * 1024;

/** Where commands print, and how they fail. */
export interface CommandOutput {
  print(line: string): void;
  fail(message: string, code: number): void;
}

const processOutput: CommandOutput = {
  print: (line) => {
    process.stdout.write(`${line}\n`);
  },
  fail: (message, code) => {
    process.stderr.write(`ironstream: ${message}\n`);
    process.exitCode = code;
  },
};

function nodeAddress(value: string): string {
  if (!/^[^:\s]+:[0-9]{1,5}$/.test(value)) throw new InvalidArgumentError('must be HOST:PORT');
  return value;
}

/** A request to a controller, and how its answer is printed. */
interface Question {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: unknown;
  /** One line of JSON where nothing is said. */
  readonly print?: (answer: unknown) => string;
}

async function ask(output: CommandOutput, node: string, question: Question): Promise<void> {
  const { method, path, body, print = JSON.stringify } = question;
  const http = new HttpClient(codec, { perHost: 1, idle: () => 0 }, MAX_ANSWER_BYTES);
  try {
    const answer = await http.call(node, method, path, body, ASK_TIMEOUT_MS);
    if (answer.status === 200 || answer.status === 201) {
      output.print(print(answer.body));
    } else {
      const error = (answer.body as { error?: unknown } | null)?.error;
      output.fail(
        `${node} answered ${answer.status}${error === undefined ? '' : `: ${String(error)}`}`,
        REFUSED,
      );
    }
  } catch (error) {
    if (!(error instanceof NoResponseError)) throw error;
    output.fail(`no answer from ${node}: ${error.message}`, NO_ANSWER);
  } finally {
    http.close();
  }
}

function readJson(file: string): unknown {
  let text: string;
  try {
    text = readFileSync(file === '-' ? 0 : file, 'utf8');
  } catch (error) {
    throw new SettingsError(`${file}: cannot be read (${(error as NodeJS.ErrnoException).code ?? 'error'})`);
  }
  try {
    return JSON.parse(text);
  } catch {
    throw new SettingsError(`${file}: not JSON`);
  }
}

/** The commands that ask a controller about a job. */
function addJobCommands(program: Command, output: CommandOutput): void {
  program
    .command('submit')
    .description('submit a job, described in JSON as the protocol has it')
    .argument('<node>', 'HOST:PORT of a controller', nodeAddress)
    .argument('<file>', 'the description, or - for standard input')
    .action(async (node: string, file: string) =>
      ask(output, node, { method: 'POST', path: '/work', body: readJson(file) }),
    );
  program
    .command('status')
    .description('tell how far a job is')
    .argument('<node>', 'HOST:PORT of a controller', nodeAddress)
    .argument('<job>', 'job id')
    .action(async (node: string, job: string) =>
      ask(output, node, { method: 'GET', path: `/work/${encodeURIComponent(job)}` }),
    );
  program
    .command('cancel')
    .alias('withdraw')
    .description('cancel a job')
    .argument('<node>', 'HOST:PORT of a controller', nodeAddress)
    .argument('<job>', 'job id')
    .action(async (node: string, job: string) =>
      ask(output, node, { method: 'POST', path: `/work/${encodeURIComponent(job)}/withdraw` }),
    );
}

function addPeersCommand(program: Command, output: CommandOutput): void {
  program
    .command('peers')
    .description('print what each controller holds of the others (with suspicion on)')
    .argument('<node>', 'HOST:PORT of a controller', nodeAddress)
    .option('--json', 'one line of JSON instead of a table')
    .action(async (node: string, { json = false }: { json?: boolean }) => {
      const print = (answer: unknown): string =>
        json ? JSON.stringify(answer) : peersTable(answer as PeersReport);
      await ask(output, node, { method: 'GET', path: '/peers', print });
    });
}

/** `code`: what became of the code kept from the build, for the log. */
export function createProgram(code = 'none', output: CommandOutput = processOutput): Command {
  const program = new Command('ironstream')
    .description('A cluster scheduler. With --config it runs a controller.')
    .option('--config <file>', "the platform's settings file (TOML)")
    .option('--options <file>', "the operators' own settings (TOML)")
    .action(async (options: { config?: string; options?: string }) => {
      if (options.config === undefined) throw new SettingsError('--config FILE is needed; see --help');
      await serve(readSettings(options.config, options.options), code);
    });
  program
    .command('check-config')
    .description('read the settings, say what follows from them, and end')
    .argument('<file>', "the platform's settings file")
    .option('--options <file>', "the operators' own settings (TOML)")
    .action((file: string, options: { options?: string }) => {
      const settings = readSettings(file, options.options);
      const { node, deployment } = settings.platform;
      const { shards: blocks, ...pace } = settings.throttling;
      const summary = {
        node,
        teams: deployment.teams.length,
        // The settings name shards `blocks`, and so does this output.
        blockLeaseMs: settings.shardLeaseMs,
        sockets: settings.sockets,
        pace: { blocks, ...pace },
        stateLimits: deployment.state,
        stateLimitsAnnounced: settings.nextStateLimits ?? null,
        admission: readAdmissionOptions(settings) ?? null,
        suspicion: describeSuspicion(settings),
        warnings: settings.warnings,
      };
      output.print(JSON.stringify({ ...summary, options: settings.operator }));
    });
  addJobCommands(program, output);
  addPeersCommand(program, output);
  return program;
}

export async function main(argv: readonly string[], code: string): Promise<void> {
  try {
    await createProgram(code).parseAsync(argv);
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error;
    processOutput.fail(error.message, BAD_INPUT);
  }
}
