/** Exit codes of all commands, listed in the README. */
export const ExitCode = {
  ok: 0,
  /** Something failed that may work later: platform or instance not reachable. */
  unavailable: 1,
  /** Wrong arguments. */
  usage: 2,
  /** The input has findings. */
  invalid: 3,
  /** Another operator was first. */
  conflict: 4,
  /** What was asked for does not exist. */
  notFound: 5,
} as const;
