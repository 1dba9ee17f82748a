import type { Command, Config } from '@oclif/core';
import { BundleAccept } from './commands/bundle-accept';
import { BundleDiff } from './commands/bundle-diff';
import { BundleNew } from './commands/bundle-new';
import { BundleRollback } from './commands/bundle-rollback';
import { BundleSign } from './commands/bundle-sign';
import { BundleStatus } from './commands/bundle-status';
import { BundleValidate } from './commands/bundle-validate';
import { Explain } from './commands/explain';
import { KeysNew } from './commands/keys-new';
import { Report } from './commands/report';
import { Serve } from './commands/serve';
import { SettingsCheck } from './commands/settings-check';
import { Status } from './commands/status';

/** A command class as the table needs it; oclif's own type wants its loader's fields. */
export type CommandClass = typeof Command & (new (argv: string[], config: Config) => Command);

/** All commands by their words. */
export const commandTable: ReadonlyMap<string, CommandClass> = new Map<string, CommandClass>([
  ['bundle accept', BundleAccept],
  ['bundle diff', BundleDiff],
  ['bundle new', BundleNew],
  ['bundle rollback', BundleRollback],
  ['bundle sign', BundleSign],
  ['bundle status', BundleStatus],
  ['bundle validate', BundleValidate],
  ['explain', Explain],
  ['keys new', KeysNew],
  ['report', Report],
  ['serve', Serve],
  ['settings check', SettingsCheck],
  ['status', Status],
]);
