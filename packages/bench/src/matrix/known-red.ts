import { readFileSync } from 'node:fs';

const FILE = 'KNOWN-RED.txt';
const ENTRY_PATTERN = /^matrix (\S+) (\S+)/;

/** A cell that is known to fail and why. */
export interface KnownRedCell {
  fault: string;
  step: string;
  line: string;
}

/** Cells that KNOWN-RED.txt lists, as lines `matrix FAULT STEP: ...`; none without the file. */
export function listKnownRedCells(): KnownRedCell[] {
  return readLines().flatMap((line) => {
    const match = ENTRY_PATTERN.exec(line);
    if (!match) return [];
    return [{ fault: match[1] ?? '', step: (match[2] ?? '').replace(/:$/, ''), line }];
  });
}

function readLines(): string[] {
  try {
    return readFileSync(FILE, 'utf8').split('\n');
  } catch {
    return [];
  }
}
