/** Tokens of an era; a token is era * this + counter, so that it rises when a restore has lost the counter. */
const TOKENS_PER_ERA = 1_000_000_000;
/** Highest era whose tokens are all safe integers. */
export const MAX_TOKEN_ERA = Math.floor(Number.MAX_SAFE_INTEGER / TOKENS_PER_ERA) - 1;
/**
 * Largest step from one token to the next. A write with a revision of the last era can replace a lease of the present one whose
 * token then is unknown; steps of random size keep the next token from being the same.
 */
const MAX_TOKEN_STEP = 4_096;

/**
 * Computes the next token, above the stored one and those that are known otherwise.
 *
 * @param stored token of the lease object; 0 if there is none
 * @param highest highest token that this instance has seen or tried
 * @param random at least 0 and less than 1
 */
export function computeNextToken(
  era: number,
  stored: number,
  highest: number,
  random: number,
): number {
  const step = 1 + Math.floor(random * MAX_TOKEN_STEP);
  const counter = stored % TOKENS_PER_ERA;
  return Math.max(era * TOKENS_PER_ERA + counter, highest) + step;
}

/** Computes the era in which a token was taken. */
export function computeTokenEra(token: number): number {
  return Math.floor(token / TOKENS_PER_ERA);
}

/** Keeps the era of the store over responses without a usable one. The calls are made one after another. */
export class LeaseEras {
  private known = 0;

  getEra(): number {
    return this.known;
  }

  /**
   * Takes in the era of a response.
   *
   * @returns the era in which the response is valid; undefined if it dates from before a restore
   */
  observe(seen: number): number | undefined {
    // 0 is a missing header once the store has named an era: no call is under way whose response could be older.
    const isUnusable = seen > MAX_TOKEN_ERA || seen === 0;
    const era = isUnusable ? this.known : seen;
    if (era < this.known) return undefined;
    this.known = era;
    return era;
  }
}
