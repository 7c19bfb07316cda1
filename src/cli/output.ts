/** @file The output of commands: result lines, error messages and exit codes. */

/** The exit codes of failed commands. */
export enum ExitCode {
  /** A bad setting or argument. */
  BadInput = 1,
  /** The controller refused the request. */
  Refused = 2,
  /** No response was received. */
  NoResponse = 3,
}

/** The output of a command. */
export interface CommandOutput {
  /** Prints a line of the result. */
  print(line: string): void;
  /** Prints an error message, and sets the exit code. */
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
