/** @file Where commands print, and how they fail. */

/** The exit codes of failed commands. */
export enum ExitCode {
  /** A bad setting or argument. */
  BadInput = 1,
  /** The controller refused the request. */
  Refused = 2,
  /** No response came. */
  NoResponse = 3,
}

/** Where commands print, and how they fail. */
export interface CommandOutput {
  /** Prints a line of the result. */
  print(line: string): void;
  /** Prints what went wrong, and sets the exit code. */
  fail(message: string, code: ExitCode): void;
}

/** The standard streams and the exit code of this process. */
export const processOutput: CommandOutput = {
  print: (line) => {
    process.stdout.write(`${line}\n`);
  },
  fail: (message, code) => {
    process.stderr.write(`ironstream: ${message}\n`);
    process.exitCode = code;
  },
};
