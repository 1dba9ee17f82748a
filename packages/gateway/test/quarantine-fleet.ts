import type { RequestTrait } from '@pollendrum/policy';
import { FleetGossip } from '../src/fleet-gossip';
import { RequestQuarantine } from '../src/request-quarantine';
import type { TraitSource } from '../src/request-traits';
import { createTestLog } from './gateway-fixture';
import { LossyNetwork } from './lossy-network';

/** Quarantines of instances that exchange facts over a network in memory. */
export interface QuarantineFleet extends AsyncDisposable {
  quarantines: readonly RequestQuarantine[];
  network: LossyNetwork;
}

export function startQuarantineFleet(instances: number, lossShare: number): QuarantineFleet {
  const network = new LossyNetwork(lossShare);
  const peers = Array.from({ length: instances }, (_, port) => ({
    instanceId: `entry-${port}`,
    address: '127.0.0.1',
    port,
  }));
  const members = peers.map(({ instanceId, port }) => {
    const base = { instanceId, clock: () => performance.now(), log: createTestLog([]) };
    const gossip: FleetGossip = new FleetGossip({
      ...{ ...base, socket: network.createSocket(port) },
      onFact: (fact) => {
        if (fact.kind === 'crash' || fact.kind === 'sound' || fact.kind === 'probe') {
          quarantine.mergeFact(fact);
        }
      },
      listFacts: () => quarantine.listFacts(),
    });
    const quarantine: RequestQuarantine = new RequestQuarantine({
      ...{ ...base, onChange: () => undefined },
      publish: (key, build, urgency) => {
        gossip.publish(key, build, urgency);
      },
    });
    gossip.setPeers(peers);
    quarantine.setInstances(peers.map((peer) => peer.instanceId));
    return { gossip, quarantine };
  });
  return {
    quarantines: members.map(({ quarantine }) => quarantine),
    network,
    async [Symbol.asyncDispose]() {
      await Promise.all(members.map(({ gossip }) => gossip[Symbol.asyncDispose]()));
    },
  };
}

/** Sends a request unless it is held back, or no server is ready; returns whether it was sent. */
export function sendUnlessHeldBack(
  quarantine: RequestQuarantine,
  request: TraitSource,
  isServerReady = true,
): boolean {
  const judgement = quarantine.judgeSend(request, false);
  if (judgement.kind === 'held-back' || !isServerReady) return false;
  if (judgement.kind === 'probe') quarantine.recordProbe(judgement.traits);
  return true;
}

/** Makes a request that is not repeated. */
export function makeTraitSource(traits: readonly RequestTrait[]): TraitSource {
  return { listPartTraits: () => [...traits], getRepetitionTrait: () => 'request none' };
}

/** Picks an entry at random. */
export function pickRandom<T>(entries: readonly T[]): T | undefined {
  return entries[Math.floor(Math.random() * entries.length)];
}
