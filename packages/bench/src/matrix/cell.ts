import type { AcceptResult } from '@pollendrum/platform';
import type { Call, Observation } from './caller';
import type { Fault } from './faults';
import type { Fleet, FleetMember } from './fleet';
import type { Observer } from './observer';
import type { Step } from './steps';
import type { Traffic } from './traffic';

/** A bundle that an operator tried to put in force. */
export interface BundleChange {
  number: number;
  marker: string;
  text: string;
  /** Undefined until the operator's call returned. */
  result?: AcceptResult['kind'];
  /** When the operator's call returned, Unix time in milliseconds. */
  settledAtMs?: number;
}

/** A running cell: its fleet, its callers and what happened so far. Times are Unix times in ms. */
export interface CellContext {
  fault: Fault;
  step: Step;
  fleet: Fleet;
  traffic: Traffic;
  observer: Observer;
  /** The instance that receives the probe. */
  entry: FleetMember;
  /** The instance that decides the shard of the engines. */
  dispatcher: FleetMember;
  probe?: Call;
  probeAnswer?: Promise<Observation>;
  changes: BundleChange[];
  /** Instance that was told to stop, with the time of the signal. */
  stopping?: { member: FleetMember; atMs: number };
  /** Backend server that was announced as leaving. */
  leaving?: { member: FleetMember; atMs: number };
}
