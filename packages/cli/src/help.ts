import { commandTable } from './command-table';
import type { CommandClass } from './command-table';

const COLUMN_WIDTH = 22;

/** Prints the help of one command, or the list of all commands that begin with the given words. */
export function printHelp(id: string | undefined, args: readonly string[]): void {
  const command = id === undefined ? undefined : commandTable.get(id);
  const text = command === undefined ? renderOverview(args) : renderCommandHelp(id ?? '', command);
  process.stdout.write(text);
}

function renderOverview(args: readonly string[]): string {
  const topic = args.find((word) => !word.startsWith('-'));
  const rows = [...commandTable]
    .filter(([id]) => topic === undefined || id.startsWith(topic))
    .map(([id, command]) => `  ${id.padEnd(COLUMN_WIDTH)}${command.summary ?? ''}`);
  const list = rows.length > 0 ? rows.join('\n') : `  no command begins with "${topic ?? ''}"`;
  return `Usage: pollendrum COMMAND [--help] [--json]\n\nCommands:\n${list}\n`;
}

function renderCommandHelp(id: string, command: CommandClass): string {
  const args = Object.entries(command.args).map(
    ([name, arg]) => `  ${name.toUpperCase().padEnd(COLUMN_WIDTH)}${arg.description ?? ''}`,
  );
  const flags = Object.entries({ ...command.flags, ...command.baseFlags }).map(([name, flag]) => {
    const value = flag.type === 'option' ? `--${name}=VALUE` : `--${name}`;
    return `  ${value.padEnd(COLUMN_WIDTH)} ${flag.description ?? flag.summary ?? ''}`;
  });
  const examples = (command.examples ?? []).map((example) => `  ${String(example)}`);
  const usage = [id, ...Object.keys(command.args).map((name) => name.toUpperCase())].join(' ');
  const sections: [string, string[]][] = [
    ['Arguments', args],
    ['Options', flags],
    ['Examples', examples],
  ];
  const body = sections
    .filter(([, rows]) => rows.length > 0)
    .map(([title, rows]) => `${title}:\n${rows.join('\n')}\n`)
    .join('\n');
  return `${command.summary ?? ''}\n\nUsage: pollendrum ${usage} [options]\n\n${body}`;
}
