import { LimitedAdmission } from '@pollendrum/policy';

/** Admission to the servers that name limits, by service. */
export class LimitedAdmissions {
  private readonly byService = new Map<string, LimitedAdmission>();

  get(serviceName: string): LimitedAdmission {
    const known = this.byService.get(serviceName) ?? new LimitedAdmission();
    this.byService.set(serviceName, known);
    return known;
  }
}
