import type { Command, Config } from '@oclif/core';
import { Explain } from './commands/explain';
import { KeysNew } from './commands/keys-new';
import { Report } from './commands/report';
import { SettingsCheck } from './commands/settings-check';

/** A command class as the table needs it; oclif's own type wants its loader's fields. */
export type CommandClass = typeof Command & (new (argv: string[], config: Config) => Command);

/** All commands by their words. */
export const commandTable: ReadonlyMap<string, CommandClass> = new Map<string, CommandClass>([
  ['explain', Explain],
  ['keys new', KeysNew],
  ['report', Report],
  ['settings check', SettingsCheck],
]);
