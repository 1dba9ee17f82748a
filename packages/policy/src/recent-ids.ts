/** Number of ids per generation; two generations take at most about 4 MB. */
const IDS_PER_GENERATION = 20_000;

/**
 * Set of the last 20,000 to 40,000 ids. After a connection was replaced, messages about an ended attempt can
 * arrive late or twice and must not start the attempt again.
 */
export class RecentIds {
  private current = new Set<string>();
  private previous = new Set<string>();

  add(id: string): void {
    this.current.add(id);
    if (this.current.size < IDS_PER_GENERATION) return;
    this.previous = this.current;
    this.current = new Set();
  }

  has(id: string): boolean {
    return this.current.has(id) || this.previous.has(id);
  }
}
