/** Thrown by `runDemo` until the demo is wired. */
export class DemoNotWiredError extends Error {
  override readonly name = 'DemoNotWiredError';

  constructor() {
    super('demo is not wired yet');
  }
}

/**
 * Runs the demo with the arguments after its name; resolves with the exit code.
 * @throws DemoNotWiredError
 */
export async function runDemo(args: readonly string[]): Promise<number> {
  void args;
  return Promise.reject(new DemoNotWiredError());
}
