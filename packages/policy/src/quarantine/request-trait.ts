/**
 * A property that requests share and by which they may crash backend servers: `part ID` for a part of the prompt,
 * `request FINGERPRINT` for a request that is sent again.
 */
export type RequestTrait = `part ${string}` | `request ${string}`;
