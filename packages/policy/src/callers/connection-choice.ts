/** An open connection of a caller. */
export interface CallerConnectionState {
  address: string;
  /** Requests without a complete response. */
  openRequests: number;
  /** Whether a part of a request's head has arrived. */
  hasBegunHead: boolean;
  /** Time at which the connection was opened or its last response ended, in milliseconds. */
  idleSinceMs: number;
}

/**
 * Chooses the connection that makes room for a new one: without an open request, of the address with the most connections, the
 * longest idle one. Undefined when the new connection itself has to go, because all others are in use.
 */
export function chooseConnectionToClose<C extends CallerConnectionState>(
  connections: Iterable<C>,
): C | undefined {
  const all = [...connections];
  const countByAddress = new Map<string, number>();
  for (const { address } of all)
    countByAddress.set(address, (countByAddress.get(address) ?? 0) + 1);
  let chosen: C | undefined;
  for (const candidate of all) {
    if (candidate.openRequests > 0) continue;
    if (chosen === undefined || isBefore(candidate, chosen, countByAddress)) chosen = candidate;
  }
  return chosen;
}

function isBefore(
  one: CallerConnectionState,
  other: CallerConnectionState,
  countByAddress: ReadonlyMap<string, number>,
): boolean {
  const difference =
    (countByAddress.get(one.address) ?? 0) - (countByAddress.get(other.address) ?? 0);
  return difference === 0 ? one.idleSinceMs < other.idleSinceMs : difference > 0;
}

/** Lists the connections whose begun heads are too many, the longest idle first. */
export function listExcessHeads<C extends CallerConnectionState>(
  connections: Iterable<C>,
  maxBegunHeads: number,
): C[] {
  const begun = [...connections].filter(
    ({ hasBegunHead, openRequests }) => hasBegunHead && openRequests === 0,
  );
  if (begun.length <= maxBegunHeads) return [];
  begun.sort((one, other) => one.idleSinceMs - other.idleSinceMs);
  return begun.slice(0, begun.length - maxBegunHeads);
}
