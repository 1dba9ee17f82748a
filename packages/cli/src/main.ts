import { Config, Errors, handle } from '@oclif/core';
import { commandTable } from './command-table';
import { printHelp } from './help';
import { packageInfo } from './package-info';

/** Runs the command named by the first words of the arguments; a binary has no files for oclif's loader. */
async function runCommand(args: readonly string[]): Promise<void> {
  const match = findCommand(args);
  if (args.includes('--version')) {
    process.stdout.write(`pollendrum ${packageInfo.version}\n`);
    return;
  }
  if (match === undefined || args.includes('--help') || args.includes('-h')) {
    printHelp(match?.id, args);
    if (match === undefined && args.length > 0 && !args.includes('--help')) process.exitCode = 2;
    return;
  }
  const config = await Config.load({ root: process.cwd(), pjson: packageInfo });
  await match.command.run(match.rest, config);
}

function findCommand(args: readonly string[]) {
  for (const wordCount of [2, 1]) {
    const id = args.slice(0, wordCount).join(' ');
    const command = commandTable.get(id);
    if (command !== undefined && args.length >= wordCount) {
      return { id, command, rest: args.slice(wordCount) };
    }
  }
  return undefined;
}

runCommand(process.argv.slice(2)).catch(async (error: unknown) => {
  if (error instanceof Errors.ExitError) process.exit(error.oclif.exit ?? 1);
  await handle(error instanceof Error ? error : new Error(String(error)));
});
