import { version } from '../package.json';

/** What oclif reads from a package file; the binary has none. */
export const packageInfo = {
  name: 'pollendrum',
  version,
  oclif: { bin: 'pollendrum' },
};
