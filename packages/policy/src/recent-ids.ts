/** Ids kept per generation; two generations are held, about 4 MB at most. */
const IDS_PER_GENERATION = 20_000;

/**
 * Remembers the last 20,000 to 40,000 ids. Messages about an ended attempt can arrive late or twice
 * after a link was replaced; they must not start the attempt again.
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
